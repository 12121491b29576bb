//! Macros that declare id types, which differ only in name, validation rule and prefix.

/// Implements the conversions between a type and `String` that serde uses.
macro_rules! text_conversions {
    ($type:ident) => {
        impl TryFrom<String> for $type {
            type Error = $crate::id::ParseIdError;

            fn try_from(text: String) -> Result<Self, $crate::id::ParseIdError> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(id: $type) -> Self {
                id.to_string()
            }
        }
    };
}

/// Declares an id that is a string validated by a function.
macro_rules! text_id {
    ($(#[$doc:meta])* $type:ident, $kind:literal, $is_valid:ident, $rule:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(std::sync::Arc<str>);

        impl $type {
            /// Returns the id as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $type {
            type Err = $crate::id::ParseIdError;

            fn from_str(text: &str) -> Result<Self, $crate::id::ParseIdError> {
                if $is_valid(text) {
                    Ok(Self(text.into()))
                } else {
                    Err($crate::id::ParseIdError::new($kind, text, $rule))
                }
            }
        }

        text_conversions!($type);
    };
}

/// Declares an id that is a number formatted with a letter as prefix.
macro_rules! number_id {
    ($(#[$doc:meta])* $type:ident, $kind:literal, $letter:literal) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            Eq,
            Hash,
            Ord,
            PartialEq,
            PartialOrd,
            serde::Serialize,
            serde::Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(u64);

        impl $type {
            /// Creates an id from its number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number without its prefix.
            pub const fn get(self) -> u64 {
                self.0
            }
        }

        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, concat!($letter, "{}"), self.0)
            }
        }

        impl std::str::FromStr for $type {
            type Err = $crate::id::ParseIdError;

            fn from_str(text: &str) -> Result<Self, $crate::id::ParseIdError> {
                let rule = concat!("write it as ", $letter, "17");
                let error = || $crate::id::ParseIdError::new($kind, text, rule);
                let digits = text.strip_prefix($letter).ok_or_else(error)?;
                digits.parse().map(Self).map_err(|_| error())
            }
        }

        text_conversions!($type);
    };
}
