use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::room_index::RoomIndex;
use super::score_index::{ScoreIndex, ScoreKey};
use crate::id;
use crate::worker;

/// Maximum number of labels that a pool has an index of its own for.
const MAX_LABELS: usize = 256;
/// Maximum number of keys that workers are kept by score for.
const MAX_SCORE_KEYS: usize = 128;

/// Indexes of the workers of a pool that tasks may be placed on.
#[derive(Debug, Default)]
pub(super) struct PoolIndex {
    members: BTreeSet<id::WorkerNumber>,
    rooms: RoomIndex,
    /// Indexes of the workers with a label, for the labels that were searched for.
    labelled: BTreeMap<String, RoomIndex>,
    scored: BTreeMap<ScoreKey, ScoreIndex>,
    /// Workers that changed lately.
    changed: VecDeque<id::WorkerNumber>,
    /// Number of all changes so far.
    changes: u64,
    searches: u64,
}

impl PoolIndex {
    pub(super) fn insert(
        &mut self,
        number: id::WorkerNumber,
        free: &worker::Resources,
        labels: &[String],
    ) {
        self.members.insert(number);
        self.rooms.insert(free, number);
        for label in labels {
            if let Some(rooms) = self.labelled.get_mut(label) {
                rooms.insert(free, number);
            }
        }
    }

    pub(super) fn remove(
        &mut self,
        number: id::WorkerNumber,
        free: &worker::Resources,
        labels: &[String],
    ) {
        self.members.remove(&number);
        self.rooms.remove(free, number);
        for label in labels {
            if let Some(rooms) = self.labelled.get_mut(label) {
                rooms.remove(free, number);
            }
        }
    }

    /// Records a change of a worker that its scores may depend on.
    pub(super) fn note_change(&mut self, number: id::WorkerNumber) {
        if self.scored.is_empty() {
            return;
        }
        self.changes += 1;
        self.changed.push_back(number);
        if self.changed.len() > self.members.len() + 1 {
            self.changed.pop_front();
        }
    }

    /// Returns the workers with a label, or all of them.
    pub(super) fn rooms(&self, label: Option<&str>) -> Option<&RoomIndex> {
        match label {
            Some(label) => self.labelled.get(label),
            None => Some(&self.rooms),
        }
    }

    /// Begins to keep an index of the workers with a label; `labels_of` returns a worker's labels
    /// and its free resources.
    pub(super) fn add_label<'w, F>(&mut self, label: &str, labels_of: F)
    where
        F: Fn(id::WorkerNumber) -> Option<(&'w [String], worker::Resources)>,
    {
        if self.labelled.len() >= MAX_LABELS {
            self.labelled.clear();
        }
        let mut rooms = RoomIndex::default();
        for number in &self.members {
            if let Some((labels, free)) = labels_of(*number)
                && labels.iter().any(|other| other == label)
            {
                rooms.insert(&free, *number);
            }
        }
        self.labelled.insert(label.to_owned(), rooms);
    }

    /// Brings the scores for a key up to date with the changes of workers; returns the number of
    /// workers that were scored.
    pub(super) fn update_scores<F>(&mut self, key: &ScoreKey, score: F) -> u64
    where
        F: Fn(id::WorkerNumber) -> Option<i64>,
    {
        self.searches += 1;
        if !self.scored.contains_key(key) {
            self.make_room_for_key();
            self.scored.insert(key.clone(), ScoreIndex::new());
        }
        let Some(index) = self.scored.get_mut(key) else { return 0 };
        index.searched_at = self.searches;
        let missed = index.changes.map(|changes| self.changes - changes);
        let missed = missed.and_then(|missed| usize::try_from(missed).ok());
        let missed = missed.filter(|missed| *missed <= self.changed.len());
        let mut scored = 0;
        if let Some(missed) = missed {
            for number in self.changed.iter().rev().take(missed) {
                let is_member = self.members.contains(number);
                index.set(*number, if is_member { score(*number) } else { None });
                scored += 1;
            }
        } else {
            index.clear();
            for number in &self.members {
                index.set(*number, score(*number));
                scored += 1;
            }
        }
        index.changes = Some(self.changes);
        scored
    }

    /// Returns the scores for a key, as of its last update.
    pub(super) fn scores(&self, key: &ScoreKey) -> Option<&ScoreIndex> {
        self.scored.get(key)
    }

    /// Sets the score of a worker for a key.
    pub(super) fn set_score(
        &mut self,
        key: &ScoreKey,
        number: id::WorkerNumber,
        score: Option<i64>,
    ) {
        if let Some(index) = self.scored.get_mut(key) {
            index.set(number, score);
        }
    }

    fn make_room_for_key(&mut self) {
        if self.scored.len() < MAX_SCORE_KEYS {
            return;
        }
        let oldest = self.scored.iter().min_by_key(|(_, index)| index.searched_at);
        if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
            self.scored.remove(&oldest);
        }
    }
}
