use super::Checkpoint;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// The task is done.
    Finished,
    /// The task failed.
    Failed {
        /// Worker's reason.
        reason: String,
    },
    /// The worker never began it.
    NotStarted,
    /// It was stopped on request and confirmed so.
    Stopped {
        /// Last state that was saved.
        checkpoint: Option<Checkpoint>,
    },
    /// Its worker came back without it or its lease ran out.
    Lost,
}
