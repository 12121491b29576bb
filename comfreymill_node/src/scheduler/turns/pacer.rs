use std::time::Duration;

use comfreymill_types::time;

/// Minimum interval between work that costs much each time, however often there is a reason for it.
///
/// **Load pattern:** during a burst each turn has a reason to place tasks. A round costs about the
/// same for one change as for the changes of many turns.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    period: Duration,
    next_at: time::Monotonic,
}

impl Pacer {
    /// Creates a pacer for work that is due at most once in each `period`.
    #[must_use]
    pub fn new(period: Duration) -> Self {
        Self { period, next_at: time::Monotonic::ZERO }
    }

    /// Returns whether the work may be done now.
    #[must_use]
    pub fn is_due(&self, now: time::Monotonic) -> bool {
        now >= self.next_at
    }

    /// Returns the time until the work may be done.
    #[must_use]
    pub fn remaining(&self, now: time::Monotonic) -> Duration {
        self.next_at.since(now)
    }

    /// Records that the work was begun at `began` and has ended at `now`. A share of the time at
    /// least as long as the work itself is left for inputs before the next one.
    pub fn done(&mut self, began: time::Monotonic, now: time::Monotonic) {
        self.next_at = now + self.period.max(now.since(began));
    }
}
