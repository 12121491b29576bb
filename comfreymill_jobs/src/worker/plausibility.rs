use super::Announcement;

/// Maximum difference between the clocks of machines, in milliseconds. The platform allows 6 s; a
/// worker that is refused without reason costs more than a wrong one that does not answer.
const MAX_SKEW_MS: u64 = 60_000;

impl Announcement {
    /// Returns whether the incarnation may have begun by `unix_ms`, the time of day.
    pub(crate) fn has_begun(&self, unix_ms: u64) -> bool {
        self.born_unix_ms <= unix_ms.saturating_add(MAX_SKEW_MS)
    }

    /// Returns whether an incarnation may have come to this sequence number by `unix_ms`, the time
    /// of day: the numbers count the announcements since its start, and there are far fewer than one
    /// each millisecond. `last` is the last number that is known.
    pub(crate) fn has_possible_sequence(&self, last: u64, unix_ms: u64) -> bool {
        let age_ms = unix_ms.saturating_sub(self.born_unix_ms);
        self.sequence <= age_ms.max(last).saturating_add(MAX_SKEW_MS)
    }
}
