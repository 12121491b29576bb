use std::fmt;
use std::str;

/// Share of full speed, from 1% to 100%.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Percent(u8);

/// Error of parsing a text that is not a percentage from 1% to 100%.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is not a share: write 1% to 100%")]
pub struct ParsePercentError {
    text: String,
}

impl Percent {
    /// Full speed.
    pub const FULL: Self = Self(100);

    /// Creates a share of `percent` hundredths, clamped to 1 to 100.
    pub fn new(percent: u8) -> Self {
        Self(percent.clamp(1, 100))
    }

    /// Returns the share in hundredths.
    pub fn get(self) -> u8 {
        self.0
    }

    /// Returns the share as a factor from 0 to 1.
    pub fn as_factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl str::FromStr for Percent {
    type Err = ParsePercentError;

    fn from_str(text: &str) -> Result<Self, ParsePercentError> {
        let error = || ParsePercentError { text: text.to_owned() };
        let digits = text.strip_suffix('%').ok_or_else(error)?;
        let percent = digits.parse().map_err(|_| error())?;
        if (1..=100).contains(&percent) { Ok(Self(percent)) } else { Err(error()) }
    }
}

impl TryFrom<String> for Percent {
    type Error = ParsePercentError;

    fn try_from(text: String) -> Result<Self, ParsePercentError> {
        text.parse()
    }
}

impl From<Percent> for String {
    fn from(percent: Percent) -> Self {
        percent.to_string()
    }
}
