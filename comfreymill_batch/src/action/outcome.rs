use std::fmt;

use crate::event;

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// With success.
    Finished,
    /// With a failure.
    Failed {
        /// What the worker says of it.
        reason: String,
        /// How far it had come.
        progress: event::Progress,
    },
    /// Confirmed as stopped.
    Stopped {
        /// How far it had come.
        progress: event::Progress,
    },
    /// Its lease ran out or its worker came back without it.
    Lost {
        /// Whether it may have begun.
        may_have_begun: bool,
    },
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Finished => f.write_str("finished"),
            Self::Failed { reason, .. } => write!(f, "failed: {reason}"),
            Self::Stopped { .. } => f.write_str("stopped"),
            Self::Lost { .. } => f.write_str("lost"),
        }
    }
}
