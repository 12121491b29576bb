use std::fmt;
use std::str;

use super::{ParseIdError, TaskId};

/// Number of an attempt to run a task, counted from 1; used as the fencing token.
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
    /// Placeholder for no attempt, less than every attempt number.
    pub const NONE: Self = Self(0);

    /// Creates an attempt number.
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Returns the number as an integer.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the number of the next attempt.
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

/// Id of one attempt to run a task, formatted as `j17.3#2`.
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
    /// Task of the attempt.
    pub task: TaskId,
    /// Number of the attempt, used as the fencing token.
    pub number: AttemptNumber,
}

impl AttemptId {
    /// Creates the id of attempt `number` of `task`.
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
