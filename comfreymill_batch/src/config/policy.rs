use std::fmt;
use std::str;

/// How workers are chosen and when tasks are evicted.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, PartialEq, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// First worker with room, in the order in which workers joined; never evicts for latency.
    FirstFit,
    /// Worker that has the least room left after the placement; never evicts for latency.
    BestFit,
    /// Best fit, and evicts the largest task as soon as a prompt service is slow.
    EvictImmediately,
    /// Places by learned interference; when a prompt service is slow, throttles, then checkpoints
    /// and evicts.
    #[default]
    InterferenceAware,
}

/// Error of parsing a text that names no policy.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error(
    "`{text}` is not a policy: write first-fit, best-fit, evict-immediately or interference-aware"
)]
pub struct ParsePolicyError {
    text: String,
}

impl Policy {
    /// Every policy, baselines first.
    pub const ALL: [Self; 4] =
        [Self::FirstFit, Self::BestFit, Self::EvictImmediately, Self::InterferenceAware];
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::FirstFit => "first-fit",
            Self::BestFit => "best-fit",
            Self::EvictImmediately => "evict-immediately",
            Self::InterferenceAware => "interference-aware",
        })
    }
}

impl str::FromStr for Policy {
    type Err = ParsePolicyError;

    fn from_str(text: &str) -> Result<Self, ParsePolicyError> {
        Self::ALL
            .into_iter()
            .find(|policy| policy.to_string() == text)
            .ok_or_else(|| ParsePolicyError { text: text.to_owned() })
    }
}
