use super::Progress;

/// State of an attempt, as its worker reports it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptState {
    /// Accepted; its program has not begun.
    Starting,
    /// Its program is running.
    Running,
    /// Its program ended with success.
    Finished,
    /// Its program ended with a failure or could not begin.
    Failed {
        /// What the worker says of it.
        reason: String,
        /// How far it had come.
        progress: Progress,
    },
    /// It was stopped by a directive or because its lease ran out.
    Stopped {
        /// How far it had come.
        progress: Progress,
    },
}

impl AttemptState {
    /// Whether the attempt is gone from the worker.
    pub fn is_ended(&self) -> bool {
        matches!(self, Self::Finished | Self::Failed { .. } | Self::Stopped { .. })
    }
}
