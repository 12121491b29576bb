use std::time::Duration;

use comfreymill_types::document;
use comfreymill_types::time;

use super::Leader;
use crate::protocol;

/// # Longest deadlines
///
/// A lost entry's grants go to other entries once none of its requests can still be running. That
/// time depends on the deadlines in the document in force. For a while after a document change,
/// requests under the previous document may still run, and a new leader does not know their
/// deadlines, so the maximum deadline applies.
impl Leader {
    /// Returns the longest time that a request in an environment and stage may run.
    pub(super) fn get_longest_deadline(
        &self,
        now: time::Monotonic,
        stage_key: &protocol::EnvironmentStage,
    ) -> Duration {
        let is_previous_over =
            self.previous_documents_until.get(stage_key).is_none_or(|until| now >= *until);
        let document = self.documents.get(stage_key).filter(|_| is_previous_over);
        let longest = document.map(document::Environment::get_longest_deadline);
        longest.unwrap_or(document::PromptClass::MAX_DEADLINE)
    }

    /// Records that a document came into force `age_ms` ago, either as the first or in place of a
    /// previous one, under which requests may still be running.
    pub(super) fn record_previous_document(
        &mut self,
        now: time::Monotonic,
        stage_key: &protocol::EnvironmentStage,
        is_first: bool,
        age_ms: u64,
    ) {
        let expiry = self.granter_config.get_expiry();
        let remaining = expiry.saturating_sub(Duration::from_millis(age_ms));
        if !is_first && !remaining.is_zero() {
            self.previous_documents_until.insert(stage_key.clone(), now + remaining);
        }
    }

    /// Applies only the deadlines in force again where all requests under the previous document
    /// have ended.
    pub(super) fn expire_previous_documents(&mut self, now: time::Monotonic) {
        let expired = self.previous_documents_until.iter().filter(|(_, until)| now >= **until);
        let expired: Vec<_> = expired.map(|(stage_key, _)| stage_key.clone()).collect();
        for stage_key in expired {
            self.previous_documents_until.remove(&stage_key);
            self.set_longest_deadline(now, &stage_key);
        }
    }

    pub(super) fn set_longest_deadline(
        &mut self,
        now: time::Monotonic,
        stage_key: &protocol::EnvironmentStage,
    ) {
        let longest = self.get_longest_deadline(now, stage_key);
        if let Some(granter) = self.granters.get_mut(stage_key) {
            granter.set_longest_deadline(longest);
        }
    }
}
