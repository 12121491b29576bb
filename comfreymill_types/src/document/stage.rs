use std::fmt;
use std::str;

/// Stage in which an environment document is in force.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Testing before production.
    Trial,
    /// Serving the customers.
    Production,
}

/// Error returned when a string is not the name of a stage.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is not a stage: write trial or production")]
pub struct ParseStageError {
    text: String,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Trial => "trial",
            Self::Production => "production",
        })
    }
}

impl str::FromStr for Stage {
    type Err = ParseStageError;

    fn from_str(text: &str) -> Result<Self, ParseStageError> {
        match text {
            "trial" => Ok(Self::Trial),
            "production" => Ok(Self::Production),
            _ => Err(ParseStageError { text: text.to_owned() }),
        }
    }
}
