use std::fmt;
use std::time::Duration;

/// Milliseconds that the group's leaders have counted since the group began.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct GroupTime(u64);

impl GroupTime {
    /// Wraps milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the group began.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Time later by `span`.
    #[must_use]
    pub fn later(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

impl fmt::Display for GroupTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}s", self.0 / 1_000, self.0 % 1_000)
    }
}
