use std::time::Duration;

use comfreymill_types::document;
use comfreymill_types::time;

use super::Lead;
use crate::protocol;

/// # Longest deadlines
///
/// A grant of an entry that is gone is handed on once nothing that it sent can still run. That
/// time follows the deadlines in force; for a while after a change, requests under an earlier
/// document may still run, whose deadlines are not known to a new leader.
impl Lead {
    /// Longest time that a request of a desk may run.
    pub(super) fn get_longest_deadline(
        &self,
        now: time::Monotonic,
        desk: &protocol::DeskKey,
    ) -> Duration {
        let is_earlier_over = self.earlier_until.get(desk).is_none_or(|until| now >= *until);
        let document = self.documents.get(desk).filter(|_| is_earlier_over);
        let longest = document.map(document::Environment::get_longest_deadline);
        longest.unwrap_or(document::PromptClass::MAX_DEADLINE)
    }

    /// Notes that a document came in force `age_ms` ago, in the place of another or as the first.
    pub(super) fn note_earlier(
        &mut self,
        now: time::Monotonic,
        desk: &protocol::DeskKey,
        is_first: bool,
        age_ms: u64,
    ) {
        let run_out = self.granter_config.get_expiry();
        let left = run_out.saturating_sub(Duration::from_millis(age_ms));
        if !is_first && !left.is_zero() {
            self.earlier_until.insert(desk.clone(), now + left);
        }
    }

    /// Counts on the deadlines in force alone again, where earlier requests have ended.
    pub(super) fn end_earlier_documents(&mut self, now: time::Monotonic) {
        let over = self.earlier_until.iter().filter(|(_, until)| now >= **until);
        let over: Vec<_> = over.map(|(desk, _)| desk.clone()).collect();
        for desk in over {
            self.earlier_until.remove(&desk);
            self.set_longest_deadline(now, &desk);
        }
    }

    pub(super) fn set_longest_deadline(&mut self, now: time::Monotonic, desk: &protocol::DeskKey) {
        let longest = self.get_longest_deadline(now, desk);
        if let Some(granter) = self.granters.get_mut(desk) {
            granter.set_longest_deadline(longest);
        }
    }
}
