use std::sync::Arc;

use comfreymill_types::id;

use super::{JobSpec, JobState, Task, TaskState};
use crate::command;

/// Accepted job.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Idempotency key that the submitter chose.
    pub key: id::IdempotencyKey,
    /// Specification as submitted.
    pub spec: Arc<JobSpec>,
    /// Whether each task must run at most once.
    pub unrepeatable: bool,
    /// Group time when the job was accepted.
    pub accepted_at: command::GroupTime,
    /// Whether the job was cancelled. Its running attempts may not have ended yet.
    pub cancelled: bool,
    /// Tasks by index.
    pub tasks: Vec<Task>,
}

impl Job {
    /// Returns the state of the job, derived from the states of its tasks.
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
