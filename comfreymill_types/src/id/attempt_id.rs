use std::fmt;
use std::str;

use super::{ParseIdError, TaskId};

/// Number of a run of a task, rising from 1; it serves as the fencing token.
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
#[serde(transparent)]
pub struct AttemptNumber(u32);

impl AttemptNumber {
    /// Number before the first attempt.
    pub const NONE: Self = Self(0);

    /// Wraps the number.
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Plain number.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Number of the attempt that follows.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for AttemptNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// One attempt of a task, printed as `j17.3#2`.
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
pub struct AttemptId {
    /// Task that the attempt runs.
    pub task: TaskId,
    /// Fencing token.
    pub number: AttemptNumber,
}

impl AttemptId {
    /// Attempt `number` of `task`.
    pub const fn new(task: TaskId, number: AttemptNumber) -> Self {
        Self { task, number }
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}

impl str::FromStr for AttemptId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let error = || ParseIdError::new("attempt id", text, "write it as j17.3#2");
        let (task, number) = text.split_once('#').ok_or_else(error)?;
        let task = task.parse().map_err(|_| error())?;
        let number = number.parse().map_err(|_| error())?;
        Ok(Self { task, number: AttemptNumber(number) })
    }
}

text_conversions!(AttemptId);
