use std::time::Duration;

use comfreymill_types::document;
use comfreymill_types::time;

use super::Lead;
use crate::protocol;

/// # Longest deadlines
///
/// A lost entry's grants go to other entries once none of its requests can still be running. That
/// time depends on the deadlines in the document in force. For a while after a document change,
/// requests under the previous document may still run, and a new leader does not know their
/// deadlines, so the maximum deadline applies.
impl Lead {
    /// Returns the longest time that a request in an environment and stage may run.
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

    /// Records that a document came into force `age_ms` ago, either as the first or in place of a
    /// previous one.
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

    /// Applies only the deadlines in force again where all requests under the previous document
    /// have ended.
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
