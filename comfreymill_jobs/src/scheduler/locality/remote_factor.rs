use std::fmt;
use std::str;
use std::time::Duration;

/// Largest factor, in percent.
const MAX_PERCENT: u32 = 10_000;

/// Factor by which a task takes longer away from its data, or on more than one rack; at least 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RemoteFactor {
    percent: u32,
}

/// Reason why a text is no factor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a factor is a number from 1 to 100")]
pub struct InvalidRemoteFactor;

impl RemoteFactor {
    /// Creates a factor from a percentage, which is limited to at least 100.
    #[must_use]
    pub const fn from_percent(percent: u32) -> Self {
        Self { percent: if percent < 100 { 100 } else { percent } }
    }

    /// Returns the time that a task takes away from its data if it takes `near` beside them.
    #[must_use]
    pub fn remote(self, near: Duration) -> Duration {
        near * self.percent / 100
    }

    /// Returns the time that a place near the data saves for a task that takes `near` there.
    #[must_use]
    pub fn extra(self, near: Duration) -> Duration {
        self.remote(near).saturating_sub(near)
    }

    /// Returns the time that a task takes near its data if it takes `remote` elsewhere.
    #[must_use]
    pub fn near(self, remote: Duration) -> Duration {
        remote * 100 / self.percent
    }
}

impl str::FromStr for RemoteFactor {
    type Err = InvalidRemoteFactor;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let factor: f64 = text.parse().map_err(|_| InvalidRemoteFactor)?;
        let percent = (factor * 100.0).round();
        if !(100.0..=f64::from(MAX_PERCENT)).contains(&percent) {
            return Err(InvalidRemoteFactor);
        }
        Ok(Self { percent: percent as u32 })
    }
}

impl fmt::Display for RemoteFactor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:02}", self.percent / 100, self.percent % 100)
    }
}
