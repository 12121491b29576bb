use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Gangs on all executors, by step and run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gangs(Arc<Mutex<BTreeMap<(String, u64), Gang>>>);

#[derive(Debug, Default)]
struct Gang {
    members: BTreeSet<String>,
    /// Since when all members have been present.
    complete_since: Option<Instant>,
    is_broken: bool,
}

/// What a member of a gang is to do.
#[derive(Clone, Copy, Debug)]
pub(super) enum Progress {
    Waits,
    Works(Instant),
    Broken,
}

impl Gangs {
    /// Adds a task that has begun; `size` members make the gang complete.
    pub(super) fn join(&self, task: &str, run: u64, size: usize) {
        let mut gangs = self.0.lock().expect("no thread panics");
        let gang = gangs.entry(key(task, run)).or_default();
        gang.members.insert(task.to_owned());
        if gang.members.len() >= size && gang.complete_since.is_none() {
            gang.complete_since = Some(Instant::now());
        }
    }

    /// Removes a task that has ended before its gang's work was done.
    pub(super) fn leave(&self, task: &str, run: u64) {
        let mut gangs = self.0.lock().expect("no thread panics");
        if let Some(gang) = gangs.get_mut(&key(task, run)) {
            gang.members.remove(task);
            gang.is_broken |= gang.complete_since.is_some();
        }
    }

    pub(super) fn progress(&self, task: &str, run: u64) -> Progress {
        let gangs = self.0.lock().expect("no thread panics");
        match gangs.get(&key(task, run)) {
            Some(gang) if gang.is_broken => Progress::Broken,
            Some(Gang { complete_since: Some(since), .. }) => Progress::Works(*since),
            _ => Progress::Waits,
        }
    }
}

fn key(task: &str, run: u64) -> (String, u64) {
    let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
    (step.to_owned(), run)
}
