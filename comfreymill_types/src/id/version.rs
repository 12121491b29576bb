use std::fmt;
use std::str;

use super::ParseIdError;

/// Version of an environment document; a newer version is greater.
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
pub struct Version(u64);

impl Version {
    /// Placeholder for no document, less than every valid version.
    pub const NONE: Self = Self(0);

    /// Creates a version.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the version as an integer.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl str::FromStr for Version {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let error = || ParseIdError::new("version", text, "write a whole number");
        text.parse().map(Self).map_err(|_| error())
    }
}
