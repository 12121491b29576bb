use std::fmt;

use super::{JobKey, TaskId};

/// Identifies a step within one occurrence of a job.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
pub struct StepId {
    /// Key of the job.
    pub job: JobKey,
    /// Number of the occurrence of a recurring job, from 0; always 0 for other jobs.
    pub occurrence: u32,
    /// Index of the step within the job, from 0.
    pub step: u16,
}

impl StepId {
    /// Returns the identifier of task `index` of this step.
    pub const fn task(self, index: u16) -> TaskId {
        TaskId { step: self, index }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}
