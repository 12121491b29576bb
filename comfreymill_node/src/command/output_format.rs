use std::fmt;
use std::str;

/// Output format of a command.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutputFormat {
    /// Human-readable lines and tables.
    #[default]
    Text,
    /// One JSON value.
    Json,
}

/// Error for a text that is not an output format.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is not a format: write text or json")]
pub struct ParseOutputFormatError {
    text: String,
}

impl fmt::Display for OutputFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Text => "text",
            Self::Json => "json",
        })
    }
}

impl str::FromStr for OutputFormat {
    type Err = ParseOutputFormatError;

    fn from_str(text: &str) -> Result<Self, ParseOutputFormatError> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(ParseOutputFormatError { text: text.to_owned() }),
        }
    }
}
