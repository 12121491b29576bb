use std::fmt;
use std::str;

use super::{JobId, ParseIdError};

/// Id of one task of a job, formatted as `j17.3`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task in the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Creates the id of task `index` of `job`.
    pub const fn new(job: JobId, index: u32) -> Self {
        Self { job, index }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.job, self.index)
    }
}

impl str::FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let error = || ParseIdError::new("task id", text, "write it as j17.3");
        let (job, index) = text.split_once('.').ok_or_else(error)?;
        let job = job.parse().map_err(|_| error())?;
        let index = index.parse().map_err(|_| error())?;
        Ok(Self { job, index })
    }
}

text_conversions!(TaskId);
