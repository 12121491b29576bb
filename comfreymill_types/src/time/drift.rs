use std::fmt;
use std::str;
use std::time::Duration;

const PARTS_PER_MILLION: u32 = 1_000_000;
const UNIT: &str = "ppm";

/// Upper bound on the drift between two clocks, in parts per million, formatted as `200ppm`.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Drift(u32);

/// Error returned when a string is not a clock drift.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is not a clock drift: write 0 to 1000000 with the unit ppm, as 200ppm")]
pub struct ParseDriftError {
    text: String,
}

impl Drift {
    /// Creates a bound of `parts` per million, clamped to 1000000.
    pub const fn from_ppm(parts: u32) -> Self {
        Self(if parts > PARTS_PER_MILLION { PARTS_PER_MILLION } else { parts })
    }

    /// Returns the bound in parts per million.
    pub const fn as_ppm(self) -> u32 {
        self.0
    }

    /// Returns the maximum offset between two clocks after `span`.
    pub fn max_offset_after(self, span: Duration) -> Duration {
        span.saturating_mul(self.0) / PARTS_PER_MILLION
    }
}

impl fmt::Display for Drift {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{UNIT}", self.0)
    }
}

impl str::FromStr for Drift {
    type Err = ParseDriftError;

    fn from_str(text: &str) -> Result<Self, ParseDriftError> {
        let error = || ParseDriftError { text: text.to_owned() };
        let number = text.strip_suffix(UNIT).ok_or_else(error)?;
        let parts: u32 = number.parse().map_err(|_| error())?;
        if parts > PARTS_PER_MILLION {
            return Err(error());
        }
        Ok(Self(parts))
    }
}

impl TryFrom<String> for Drift {
    type Error = ParseDriftError;

    fn try_from(text: String) -> Result<Self, ParseDriftError> {
        text.parse()
    }
}

impl From<Drift> for String {
    fn from(drift: Drift) -> Self {
        drift.to_string()
    }
}
