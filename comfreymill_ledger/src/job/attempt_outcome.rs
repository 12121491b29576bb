use super::Progress;

/// Outcome of an attempt.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// The attempt finished the task.
    Finished,
    /// The task failed.
    Failed {
        /// Reason that the worker gave.
        reason: String,
        /// Progress at the failure.
        progress: Progress,
    },
    /// The attempt was stopped on request, and the stop was confirmed.
    Stopped {
        /// Progress at the stop.
        progress: Progress,
    },
    /// The worker restarted without the attempt, or its lease expired.
    Lost {
        /// Progress that the attempt may have made.
        progress: Progress,
    },
}

impl AttemptOutcome {
    /// Returns the progress at the end of the attempt, or `None` if it finished the task.
    pub fn get_progress(&self) -> Option<Progress> {
        match self {
            Self::Finished => None,
            Self::Failed { progress, .. }
            | Self::Stopped { progress }
            | Self::Lost { progress } => Some(*progress),
        }
    }
}
