use std::fmt;
use std::str;
use std::sync::Arc;

use super::ParseIdError;

const MAX_NAME_BYTES: usize = 63;
const RULE: &str = "write 1 to 63 of a-z 0-9 . _ -, beginning with a letter or digit";

fn is_name(text: &str) -> bool {
    let first_fits = text.bytes().next().is_some_and(|b| b.is_ascii_alphanumeric());
    let all_fit = text
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'.' | b'_' | b'-'));
    first_fits && all_fit && text.len() <= MAX_NAME_BYTES
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// Name as text.
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
                if is_name(text) {
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
            fn from(name: $type) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name!(
    /// Name of a class of requests or tasks.
    ClassName,
    "class name"
);
name!(
    /// Name of a cluster, one per customer.
    ClusterName,
    "cluster name"
);
name!(
    /// Name of an entry process.
    EntryName,
    "entry name"
);
name!(
    /// Name of an environment.
    EnvironmentName,
    "environment name"
);
name!(
    /// Name of an executor, kept over its restarts.
    ExecutorName,
    "executor name"
);
name!(
    /// Name of a rack.
    RackName,
    "rack name"
);
name!(
    /// Name of a region.
    RegionName,
    "region name"
);
name!(
    /// Name of a prompt service.
    ServiceName,
    "service name"
);
name!(
    /// Name of a team.
    TeamName,
    "team name"
);
name!(
    /// Name of a control process.
    VoterName,
    "voter name"
);
name!(
    /// Name of a worker.
    WorkerName,
    "worker name"
);
name!(
    /// Name of an availability zone.
    ZoneName,
    "zone name"
);
