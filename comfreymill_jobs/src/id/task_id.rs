use std::fmt;
use std::str;

use super::{NameError, StepId};

/// Identifies a task of a step; written `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
pub struct TaskId {
    /// Step that the task belongs to.
    pub step: StepId,
    /// Index of the task within the step, from 0.
    pub index: u16,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl str::FromStr for TaskId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text)
            .ok_or_else(|| NameError::new(text, "a task ID of the form JOB.OCCURRENCE.STEP.INDEX"))
    }
}

fn parse(text: &str) -> Option<TaskId> {
    let mut parts = text.split('.');
    let job = parts.next()?.parse().ok()?;
    let occurrence = parts.next()?.parse().ok()?;
    let step = parts.next()?.parse().ok()?;
    let index = parts.next()?.parse().ok()?;
    let step = StepId { job, occurrence, step };
    parts.next().is_none().then_some(TaskId { step, index })
}
