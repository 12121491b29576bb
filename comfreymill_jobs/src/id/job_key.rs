use std::fmt;
use std::str;

use super::NameError;

const DIGITS: usize = 16;

/// Key that the caller chose for a job, written as 16 lowercase hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct JobKey(u64);

impl JobKey {
    /// Creates the key with the given numeric value.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the numeric value of the key.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for JobKey {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_canonical = text.len() == DIGITS
            && text.bytes().all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
        let number = u64::from_str_radix(text, 16).ok().filter(|_| is_canonical);
        number
            .map(Self)
            .ok_or_else(|| NameError::new(text, "a job key of 16 lowercase hexadecimal digits"))
    }
}
