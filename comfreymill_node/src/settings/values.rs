/// Defines a group of settings with defaults: the struct, its getters, setters and reader.
macro_rules! settings_group {
    (
        $(#[$doc:meta])*
        pub struct $type:ident {
            $($(#[$field_doc:meta])* $field:ident, $getter:ident: $value:ty = $default:expr;)*
        }
    ) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, PartialEq)]
        pub struct $type {
            $($field: $value,)*
        }

        impl Default for $type {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }

        /// # Values
        impl $type {
            $(
                $(#[$field_doc])*
                pub fn $getter(&self) -> $value {
                    self.$field.clone()
                }

                /// Sets the value that the getter of the same field returns.
                #[must_use]
                pub fn $field(mut self, value: $value) -> Self {
                    self.$field = value;
                    self
                }
            )*
        }

        impl $type {
            /// Reads the group; a key that is left out keeps its default.
            fn read_values(section: &comfreymill_types::yaml::Section<'_>) -> Self {
                let default = Self::default();
                Self {
                    $($field: section.optional(stringify!($field)).unwrap_or(default.$field),)*
                }
            }
        }
    };
}

/// Defines an enum of the words that a setting accepts.
macro_rules! settings_word {
    (
        $(#[$doc:meta])*
        pub enum $type:ident {
            $($(#[$word_doc:meta])* $word:ident = $text:literal,)*
        }
    ) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
        pub enum $type {
            $($(#[$word_doc])* $word,)*
        }

        impl $type {
            /// Returns the word used in the settings file.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$word => $text,)*
                }
            }
        }

        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl std::str::FromStr for $type {
            type Err = super::ParseWordError;

            fn from_str(text: &str) -> Result<Self, super::ParseWordError> {
                match text {
                    $($text => Ok(Self::$word),)*
                    _ => Err(super::ParseWordError {
                        text: text.to_owned(),
                        words: [$($text),*].join(", "),
                    }),
                }
            }
        }
    };
}
