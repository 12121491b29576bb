use std::fmt;
use std::str;

use super::ParseIdError;

/// One life of a process: a restart brings a new one.
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
pub struct Incarnation(u64);

impl Incarnation {
    /// Wraps the number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "i{}", self.0)
    }
}

impl str::FromStr for Incarnation {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let error = || ParseIdError::new("incarnation", text, "write it as i17");
        let digits = text.strip_prefix("i").ok_or_else(error)?;
        digits.parse().map(Self).map_err(|_| error())
    }
}

impl TryFrom<String> for Incarnation {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, ParseIdError> {
        text.parse()
    }
}

impl From<Incarnation> for String {
    fn from(id: Incarnation) -> Self {
        id.to_string()
    }
}
