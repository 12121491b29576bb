use std::collections::BTreeMap;

use crate::id;
use crate::scheduler::workers::Workers;
use crate::worker;

/// Largest number of workers with a label that names a rack; others are kinds, on which nothing
/// waits.
const MAX_RACK_WORKERS: usize = 64;

/// Workers by their labels. Entries of workers that are gone may remain until the next rebuild, so
/// readers look each worker up.
#[derive(Debug, Default)]
pub(super) struct Racks {
    by_label: BTreeMap<String, Vec<id::WorkerNumber>>,
    is_current: bool,
}

impl Racks {
    /// Notes that workers or their labels have changed.
    pub(super) fn invalidate(&mut self) {
        self.is_current = false;
    }

    /// Rebuilds the index if workers have changed since the last call.
    pub(super) fn update(&mut self, workers: &Workers) {
        if self.is_current {
            return;
        }
        self.is_current = true;
        self.by_label.clear();
        for (number, worker) in workers.iter() {
            for label in &worker.announcement.labels {
                if let Some(numbers) = self.by_label.get_mut(label) {
                    numbers.push(*number);
                } else {
                    self.by_label.insert(label.clone(), vec![*number]);
                }
            }
        }
        self.by_label.retain(|_, numbers| numbers.len() <= MAX_RACK_WORKERS);
    }

    /// Returns the workers of a rack; none if the label does not name one.
    pub(super) fn workers(&self, rack: &str) -> &[id::WorkerNumber] {
        self.by_label.get(rack).map(Vec::as_slice).unwrap_or_default()
    }
}

/// Returns the label of a worker that names its rack: workers list their kind first and their rack
/// last.
pub(super) fn rack_of(announcement: &worker::Announcement) -> Option<&str> {
    announcement.labels.last().map(String::as_str)
}
