use comfreymill_types::id;

use super::{Checkpoint, TaskState};

/// Task of a job, with the results of its past attempts.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Current state of the task.
    pub state: TaskState,
    /// Number of the last started attempt.
    pub last_attempt: id::AttemptNumber,
    /// Checkpoint from which the next attempt resumes.
    pub checkpoint: Option<Checkpoint>,
    /// Workers on which the task has failed since it was last released.
    pub failed_on: Vec<id::WorkerName>,
}

impl Task {
    /// Creates a task without attempts.
    pub(crate) fn new() -> Self {
        Self {
            state: TaskState::Waiting,
            last_attempt: id::AttemptNumber::NONE,
            checkpoint: None,
            failed_on: Vec::new(),
        }
    }

    /// Returns whether attempt `number` is the running attempt of the task.
    pub fn is_running(&self, number: id::AttemptNumber) -> bool {
        matches!(self.state, TaskState::Running { .. }) && self.last_attempt == number
    }
}
