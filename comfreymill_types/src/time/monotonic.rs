use std::fmt;
use std::ops;
use std::time::Duration;

/// Point in time, in microseconds since the start of the process.
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
pub struct Monotonic(u64);

impl Monotonic {
    /// Start of the process.
    pub const ZERO: Self = Self(0);

    /// Latest representable point in time.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates the point `micros` microseconds after the start of the process.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates the point `millis` milliseconds after the start of the process.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the start of the process.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Duration> for Monotonic {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl fmt::Display for Monotonic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
