use std::fmt;
use std::str;
use std::time::Duration;

use crate::decimal;

/// Duration, formatted and parsed with a unit, such as `250ms` or `7.2s`.
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
pub struct Span(Duration);

/// Error returned when a string is not a duration.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is not a time: write a number with one of the units us, ms, s, m, h, as 250ms")]
pub struct ParseSpanError {
    text: String,
}

impl Span {
    /// Creates a span of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Creates a span of `secs` seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(Duration::from_secs(secs))
    }

    /// Returns the span as a [`Duration`].
    pub const fn get_duration(self) -> Duration {
        self.0
    }
}

impl From<Duration> for Span {
    fn from(span: Duration) -> Self {
        Self(span)
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Self {
        span.0
    }
}

impl From<Span> for String {
    fn from(span: Span) -> Self {
        span.to_string()
    }
}

impl TryFrom<String> for Span {
    type Error = ParseSpanError;

    fn try_from(text: String) -> Result<Self, ParseSpanError> {
        text.parse()
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let micros = self.0.as_micros();
        if micros.is_multiple_of(3_600_000_000) && micros > 0 {
            write!(f, "{}h", micros / 3_600_000_000)
        } else if micros.is_multiple_of(60_000_000) && micros > 0 {
            write!(f, "{}m", micros / 60_000_000)
        } else if micros.is_multiple_of(1_000_000) {
            write!(f, "{}s", micros / 1_000_000)
        } else if micros.is_multiple_of(1_000) {
            write!(f, "{}ms", micros / 1_000)
        } else {
            write!(f, "{micros}us")
        }
    }
}

impl str::FromStr for Span {
    type Err = ParseSpanError;

    fn from_str(text: &str) -> Result<Self, ParseSpanError> {
        let error = || ParseSpanError { text: text.to_owned() };
        let split = text.find(|c: char| c.is_ascii_alphabetic()).ok_or_else(error)?;
        let (number, unit) = text.split_at(split);
        let micros_per_unit = match unit {
            "us" => 1,
            "ms" => 1_000,
            "s" => 1_000_000,
            "m" => 60_000_000,
            "h" => 3_600_000_000,
            _ => return Err(error()),
        };
        let micros = decimal::parse_scaled(number, micros_per_unit).ok_or_else(error)?;
        Ok(Self(Duration::from_micros(micros)))
    }
}
