use std::fmt;

/// Why an attempt is stopped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopReason {
    /// The attempt slows a prompt service, or its room is needed for executors or an urgent task.
    Evicted,
    /// The task was cancelled.
    Cancelled,
    /// The worker is leaving.
    Leaving,
}

impl fmt::Display for StopReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Evicted => "evicted",
            Self::Cancelled => "cancelled",
            Self::Leaving => "the worker is leaving",
        })
    }
}
