use std::time::Duration;

use comfreymill_types::time;

use super::Config;

/// Reading of a worker's clock in its answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClockReading {
    pub(super) clock_ms: u64,
    /// Time at which the order was sent; the reading was not taken before.
    pub(super) asked_at: time::Monotonic,
    /// Time at which the answer was received; the reading was not taken after it.
    pub(super) received_at: time::Monotonic,
}

impl ClockReading {
    /// Returns a lower bound of the worker's clock at `at`, in milliseconds.
    pub(super) fn min_at(&self, cfg: &Config, at: time::Monotonic) -> u64 {
        self.clock_ms.saturating_add(millis(cfg.min_worker_time(at.since(self.received_at))))
    }

    /// Returns whether `later` may be a reading of the same clock.
    pub(super) fn agrees_with(&self, cfg: &Config, later: &Self) -> bool {
        // Answers to orders that were in flight together may overtake each other.
        let overlap = cfg.max_worker_time(self.received_at.since(later.asked_at));
        let passed = cfg.max_worker_time(later.received_at.since(self.asked_at));
        // Readings and spans are rounded down to whole milliseconds.
        let overlap_ms = if overlap.is_zero() { 0 } else { millis(overlap) + 1 };
        let least = self.min_at(cfg, later.asked_at).saturating_sub(overlap_ms);
        let most = self.clock_ms.saturating_add(millis(passed)).saturating_add(1);
        (least..=most).contains(&later.clock_ms)
    }
}

/// Returns a span in whole milliseconds, rounded down.
pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
