use std::sync::Arc;

use comfreymill_types::id;

use super::{JobSpec, JobState, Task, TaskState};
use crate::command;

/// Job that was accepted.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Submitter's name of the job.
    pub key: id::IdempotencyKey,
    /// What was submitted.
    pub spec: Arc<JobSpec>,
    /// Whether a task may run at most once.
    pub unrepeatable: bool,
    /// Group time of acceptance.
    pub accepted_at: command::GroupTime,
    /// Whether a cancellation was accepted.
    pub cancelled: bool,
    /// Tasks by index.
    pub tasks: Vec<Task>,
}

impl Job {
    /// State of the job as a whole.
    pub fn get_state(&self) -> JobState {
        let active =
            |task: &Task| matches!(task.state, TaskState::Waiting | TaskState::Running { .. });
        if self.tasks.iter().any(active) {
            return JobState::Active;
        }
        if self.cancelled {
            return JobState::Cancelled;
        }
        let parked = |task: &Task| matches!(task.state, TaskState::Parked(_));
        if self.tasks.iter().any(parked) { JobState::Parked } else { JobState::Finished }
    }
}
