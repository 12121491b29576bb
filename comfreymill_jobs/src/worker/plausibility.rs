use super::Announcement;

/// Maximum difference between the clocks of machines, in milliseconds. The platform allows 6 s; a
/// worker that is refused without reason costs more than a wrong one that does not answer.
const MAX_SKEW_MS: u64 = 60_000;

impl Announcement {
    /// Returns whether the incarnation may have begun by `unix_ms`, the time of day.
    pub(crate) fn has_begun(&self, unix_ms: u64) -> bool {
        self.born_unix_ms <= unix_ms.saturating_add(MAX_SKEW_MS)
    }

    /// Returns whether the incarnation may have counted its announcements, or the ends of its runs,
    /// up to `count` by `unix_ms`, the time of day: there are far fewer than one each millisecond.
    /// `last` is the last number that is known.
    pub(crate) fn has_possible_count(&self, count: u64, last: u64, unix_ms: u64) -> bool {
        let age_ms = unix_ms.saturating_sub(self.born_unix_ms);
        count <= age_ms.max(last).saturating_add(MAX_SKEW_MS)
    }
}
