use std::time::Duration;

use comfreymill_types::time;

use crate::worker;

/// Minimum time between log lines, since another writer may send any number of announcements.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Announcements that are ignored.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    logged_at: Option<time::Monotonic>,
    /// Number of announcements that were ignored and not logged since the last one logged.
    unlogged: u64,
}

impl Refusals {
    /// Logs that an announcement is ignored, unless another was logged a moment ago.
    pub(super) fn note(
        &mut self,
        now: time::Monotonic,
        announcement: &worker::Announcement,
        reason: &str,
    ) {
        if self.logged_at.is_some_and(|at| now.since(at) < LOG_PERIOD) {
            self.unlogged += 1;
            return;
        }
        let worker::Announcement { name, born_unix_ms, sequence, address, pool, .. } = announcement;
        let others = std::mem::take(&mut self.unlogged);
        self.logged_at = Some(now);
        log::warn!(target: "workers", worker:% = name, address:% = address, service:% = pool, born = *born_unix_ms, sequence = *sequence, reason, others; "an announcement is ignored");
    }
}
