use std::collections::BTreeMap;

use crate::id;

/// Largest number of cancellations that are kept; the oldest are dropped.
const MAX_CANCELLATIONS: usize = 16_384;

/// Cancellations of jobs that were not known, by key, with the log index of the latest one.
///
/// A submission may be on its way for longer than the cancellation that its caller sent after it. It
/// must not run when it arrives.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Cancellations(BTreeMap<id::JobKey, u64>);

impl Cancellations {
    /// Returns whether the job was cancelled.
    pub fn contains(&self, job: id::JobKey) -> bool {
        self.0.contains_key(&job)
    }

    /// Iterates over the jobs that were cancelled.
    pub fn iter(&self) -> impl Iterator<Item = id::JobKey> {
        self.0.keys().copied()
    }

    /// Records the cancellation of a job in the log entry at `index`.
    pub(super) fn record(&mut self, job: id::JobKey, index: u64) {
        self.0.insert(job, index);
        if self.0.len() > MAX_CANCELLATIONS {
            let oldest = self.0.iter().min_by_key(|(_, index)| **index).map(|(job, _)| *job);
            self.0.remove(&oldest.unwrap_or(job));
        }
    }

    /// Forgets the cancellation of a job; returns whether there was one.
    pub(super) fn remove(&mut self, job: id::JobKey) -> bool {
        self.0.remove(&job).is_some()
    }
}
