use std::collections::VecDeque;

use crate::id;
use crate::worker;

/// Largest number of departures that are kept; the oldest are dropped.
const MAX_DEPARTURES: usize = 1_024;

/// Sequence number with which earlier builds marked any worker with the name of one that had departed.
/// It does not show that the incarnation has.
pub(crate) const ANY_ANNOUNCEMENT: u64 = u64::MAX;

/// Incarnations that were removed after they had said that they were leaving.
///
/// An announcement that was sent before may arrive later, and must not bring them back.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Departures(VecDeque<DepartedWorker>);

#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct DepartedWorker {
    name: id::WorkerName,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    born_unix_ms: u64,
    /// Sequence number of the announcement that said that it was leaving.
    sequence: u64,
}

impl Departures {
    /// Records an incarnation that said in announcement `sequence` that it was leaving.
    pub(crate) fn record(&mut self, announced: &worker::Announcement, sequence: u64) {
        if sequence == ANY_ANNOUNCEMENT {
            return;
        }
        let worker::Announcement { name, born_unix_ms, .. } = announced;
        self.0.push_back(DepartedWorker {
            name: name.clone(),
            born_unix_ms: *born_unix_ms,
            sequence,
        });
        while self.0.len() > MAX_DEPARTURES {
            self.0.pop_front();
        }
    }

    /// Returns whether an announcement was sent before its incarnation was removed: before it said that
    /// it was leaving, or while it was.
    pub(crate) fn supersede(&self, announcement: &worker::Announcement) -> bool {
        self.0.iter().any(|departed| {
            departed.name == announcement.name
                && departed.born_unix_ms == announcement.born_unix_ms
                && (departed.sequence > announcement.sequence || announcement.leaving_in.is_some())
        })
    }
}
