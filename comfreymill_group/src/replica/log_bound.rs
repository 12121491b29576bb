use comfreymill_types::time;
use std::time::Duration;

/// Bound on a log line: at most one in five seconds, with the number of those left out.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogBound {
    logged_at: Option<time::Monotonic>,
    suppressed: u64,
}

impl LogBound {
    /// Minimum interval between two lines.
    pub const PERIOD: Duration = Duration::from_secs(5);

    /// Returns the number of lines left out since the last one if a line may be written now, and
    /// counts this one as left out otherwise.
    pub fn pass(&mut self, now: time::Monotonic) -> Option<u64> {
        if self.logged_at.is_some_and(|logged_at| now.since(logged_at) < Self::PERIOD) {
            self.suppressed += 1;
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}
