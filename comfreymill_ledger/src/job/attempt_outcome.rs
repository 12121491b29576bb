use super::Progress;

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// The task is done.
    Finished,
    /// The task failed.
    Failed {
        /// Worker's reason.
        reason: String,
        /// How far it had come.
        progress: Progress,
    },
    /// It was stopped on request and confirmed so.
    Stopped {
        /// How far it had come.
        progress: Progress,
    },
    /// Its worker came back without it or its lease ran out.
    Lost {
        /// How far it may have come.
        progress: Progress,
    },
}

impl AttemptOutcome {
    /// How far the attempt had come; none when it finished.
    pub fn get_progress(&self) -> Option<Progress> {
        match self {
            Self::Finished => None,
            Self::Failed { progress, .. }
            | Self::Stopped { progress }
            | Self::Lost { progress } => Some(*progress),
        }
    }
}
