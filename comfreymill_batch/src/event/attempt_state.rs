use super::Progress;

/// State of an attempt, as its worker reports it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptState {
    /// Accepted; the program has not started.
    Starting,
    /// The program is running.
    Running,
    /// The program exited with success.
    Finished,
    /// The program exited with a failure or could not be started.
    Failed {
        /// Reason given by the worker.
        reason: String,
        /// Progress of the attempt when it failed.
        progress: Progress,
    },
    /// The worker stopped it, on a directive or because the lease expired.
    Stopped {
        /// Progress of the attempt when it was stopped.
        progress: Progress,
    },
}

impl AttemptState {
    /// Returns whether the attempt no longer runs on the worker.
    pub fn is_ended(&self) -> bool {
        matches!(self, Self::Finished | Self::Failed { .. } | Self::Stopped { .. })
    }
}
