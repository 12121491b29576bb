use std::fmt;
use std::str;
use std::sync::Arc;

use super::ParseIdError;

const MAX_KEY_BYTES: usize = 255;
const RULE: &str = "write 1 to 255 visible ASCII characters";

fn is_key(text: &str) -> bool {
    let length_fits = (1..=MAX_KEY_BYTES).contains(&text.len());
    length_fits && text.bytes().all(|b| b.is_ascii_graphic())
}

macro_rules! key {
    ($(#[$doc:meta])* $type:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// Key as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl str::FromStr for $type {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                if is_key(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(ParseIdError::new($kind, text, RULE))
                }
            }
        }

        impl TryFrom<String> for $type {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, ParseIdError> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(key: $type) -> Self {
                key.0.as_ref().to_owned()
            }
        }
    };
}

key!(
    /// Key by which a caller names a request, equal on a resend.
    IdempotencyKey,
    "idempotency key"
);
key!(
    /// Key by which an operator names a change, equal on a resend.
    OperationId,
    "operation id"
);
