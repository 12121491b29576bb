//! Names of jobs, tasks, runs and workers.

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

/// A name could not be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{text:?} is not {wanted}")]
pub struct NameError {
    /// What was read, cut to a bound.
    pub text: String,
    /// What was wanted.
    pub wanted: &'static str,
}

impl NameError {
    const MAX_CHARS: usize = 64;

    pub(crate) fn new(text: &str, wanted: &'static str) -> Self {
        Self { text: text.chars().take(Self::MAX_CHARS).collect(), wanted }
    }
}
