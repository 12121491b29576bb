use std::fmt;
use std::str;

const MILLIS_PER_CORE: u64 = 1_000;

/// CPU amount, stored in thousandths of a core; formatted and parsed in cores, such as `16` or
/// `0.5`.
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
#[serde(try_from = "f64", into = "f64")]
pub struct Cores(u64);

/// Error returned when a string or number is not a CPU amount.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is not a number of cores: write a number from 0 to 1000000, such as 0.5")]
pub struct ParseCoresError {
    text: String,
}

impl Cores {
    /// Creates an amount from thousandths of a core.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the amount in thousandths of a core.
    pub const fn as_millis(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Cores {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", f64::from(*self))
    }
}

impl str::FromStr for Cores {
    type Err = ParseCoresError;

    fn from_str(text: &str) -> Result<Self, ParseCoresError> {
        let cores: f64 = text.parse().map_err(|_| ParseCoresError { text: text.to_owned() })?;
        cores.try_into()
    }
}

impl TryFrom<f64> for Cores {
    type Error = ParseCoresError;

    fn try_from(cores: f64) -> Result<Self, ParseCoresError> {
        if !(0.0..=1e6).contains(&cores) {
            return Err(ParseCoresError { text: cores.to_string() });
        }
        Ok(Self((cores * MILLIS_PER_CORE as f64).round() as u64))
    }
}

impl From<Cores> for f64 {
    fn from(cores: Cores) -> Self {
        cores.0 as Self / MILLIS_PER_CORE as Self
    }
}
