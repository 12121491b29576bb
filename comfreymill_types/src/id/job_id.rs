use std::fmt;
use std::str;

use super::ParseIdError;

/// Number of a job, in order of acceptance.
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
pub struct JobId(u64);

impl JobId {
    /// Wraps the number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "j{}", self.0)
    }
}

impl str::FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let error = || ParseIdError::new("job id", text, "write it as j17");
        let digits = text.strip_prefix("j").ok_or_else(error)?;
        digits.parse().map(Self).map_err(|_| error())
    }
}

impl TryFrom<String> for JobId {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, ParseIdError> {
        text.parse()
    }
}

impl From<JobId> for String {
    fn from(id: JobId) -> Self {
        id.to_string()
    }
}
