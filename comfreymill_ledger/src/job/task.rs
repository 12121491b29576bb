use comfreymill_types::id;

use super::{Checkpoint, TaskState};

/// Task with the history that a later attempt needs.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// State of the task.
    pub state: TaskState,
    /// Number of the last attempt.
    pub last_attempt: id::AttemptNumber,
    /// Place from which the next attempt resumes.
    pub checkpoint: Option<Checkpoint>,
    /// Workers on which it failed.
    pub failed_on: Vec<id::WorkerName>,
}

impl Task {
    /// Task that was never tried.
    pub(crate) fn new() -> Self {
        Self {
            state: TaskState::Waiting,
            last_attempt: id::AttemptNumber::NONE,
            checkpoint: None,
            failed_on: Vec::new(),
        }
    }

    /// Whether attempt `number` runs now.
    pub fn is_running(&self, number: id::AttemptNumber) -> bool {
        matches!(self.state, TaskState::Running { .. }) && self.last_attempt == number
    }
}
