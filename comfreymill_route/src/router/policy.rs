use std::fmt;
use std::str;

/// Policy by which an executor is chosen among those with a free slot.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, PartialEq, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Each executor in turn.
    RoundRobin,
    /// An executor chosen uniformly at random.
    Random,
    /// The less loaded of two executors chosen at random.
    TwoChoices,
    /// The executor with the lowest cost by load, latency, failures and location.
    #[default]
    LeastLoaded,
}

/// Error returned when parsing text that names no [`Policy`].
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is not a policy: write round-robin, random, two-choices or least-loaded")]
pub struct ParsePolicyError {
    text: String,
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RoundRobin => "round-robin",
            Self::Random => "random",
            Self::TwoChoices => "two-choices",
            Self::LeastLoaded => "least-loaded",
        })
    }
}

impl str::FromStr for Policy {
    type Err = ParsePolicyError;

    fn from_str(text: &str) -> Result<Self, ParsePolicyError> {
        match text {
            "round-robin" => Ok(Self::RoundRobin),
            "random" => Ok(Self::Random),
            "two-choices" => Ok(Self::TwoChoices),
            "least-loaded" => Ok(Self::LeastLoaded),
            _ => Err(ParsePolicyError { text: text.to_owned() }),
        }
    }
}
