use std::fmt;

use super::{JobKey, TaskId};

/// Step of one occurrence of a job.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
pub struct StepId {
    /// Job.
    pub job: JobKey,
    /// Occurrence of a recurring job, from 0; 0 for any other job.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u16,
}

impl StepId {
    /// Task `index` of this step.
    pub const fn task(self, index: u16) -> TaskId {
        TaskId { step: self, index }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}
