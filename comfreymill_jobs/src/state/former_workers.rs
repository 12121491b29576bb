use std::collections::VecDeque;

use crate::id;

/// Largest number of names that are kept; the oldest are dropped.
const MAX_NAMES: usize = 1_024;

/// Names of worker incarnations that were removed, each of which may start again.
///
/// Orders that were meant for a removed incarnation may reach the next one of the name.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct FormerWorkers(VecDeque<id::WorkerName>);

impl FormerWorkers {
    /// Records the name of an incarnation that is removed.
    pub(crate) fn record(&mut self, name: &id::WorkerName) {
        self.0.retain(|other| other != name);
        self.0.push_back(name.clone());
        while self.0.len() > MAX_NAMES {
            self.0.pop_front();
        }
    }

    /// Returns whether an incarnation of the name was removed.
    pub(crate) fn contains(&self, name: &id::WorkerName) -> bool {
        self.0.contains(name)
    }
}
