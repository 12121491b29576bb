use std::fmt;
use std::str;

use super::NameError;

const DIGITS: usize = 16;

/// Key that the caller chose for a job: sixteen hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct JobKey(u64);

impl JobKey {
    /// Wraps the number that the digits spell.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Number that the digits spell.
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
        let is_plain = text.len() == DIGITS
            && text.bytes().all(|it| it.is_ascii_digit() || (b'a'..=b'f').contains(&it));
        let number = u64::from_str_radix(text, 16).ok().filter(|_| is_plain);
        number.map(Self).ok_or_else(|| NameError::new(text, "a job's key of 16 lower hex digits"))
    }
}
