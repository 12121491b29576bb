use std::fmt;
use std::time::Duration;

/// Time of the group: milliseconds since its start, as counted by its leaders.
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
    /// Creates a time from milliseconds since the start of the group.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the start of the group.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time `span` after this one, saturating at the maximum.
    #[must_use]
    pub fn saturating_add(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

impl fmt::Display for GroupTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}s", self.0 / 1_000, self.0 % 1_000)
    }
}
