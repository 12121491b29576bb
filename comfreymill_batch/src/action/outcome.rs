use std::fmt;

use crate::event;

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It finished with success.
    Finished,
    /// It failed.
    Failed {
        /// Reason given by the worker.
        reason: String,
        /// Progress of the attempt when it failed.
        progress: event::Progress,
    },
    /// The worker confirmed that it was stopped.
    Stopped {
        /// Progress of the attempt when it was stopped.
        progress: event::Progress,
    },
    /// Its lease expired, or its worker restarted or no longer reports it.
    Lost {
        /// Whether the program may have started.
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
