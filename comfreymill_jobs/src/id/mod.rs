//! Identifiers of jobs, steps, tasks, runs, workers and availability zones.

mod job_key;
mod numbers;
mod step_id;
mod task_id;
mod worker_name;

pub use job_key::JobKey;
pub use numbers::{Fence, Run, WorkerNumber};
pub use step_id::StepId;
pub use task_id::TaskId;
pub use worker_name::WorkerName;

pub use comfreymill_types::id::ZoneName;

/// Error returned when an identifier cannot be parsed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{text:?} is not {expected}")]
pub struct NameError {
    /// Rejected text, truncated to 64 characters.
    pub text: String,
    /// Description of the expected form.
    pub expected: &'static str,
}

impl NameError {
    const MAX_CHARS: usize = 64;

    pub(crate) fn new(text: &str, expected: &'static str) -> Self {
        Self { text: text.chars().take(Self::MAX_CHARS).collect(), expected }
    }
}
