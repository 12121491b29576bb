use crate::id;
use crate::replica::Action;
use crate::snapshot;
use std::collections::VecDeque;

/// Actions ready to be returned, and actions that wait for a write to be synced.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pub(super) actions: Vec<Action>,
    pub(super) hard_state_changed: bool,
    pub(super) entries_from: Option<id::Index>,
    pub(super) snapshot: Option<snapshot::Snapshot>,
    pub(super) reset: bool,
    issued: id::Sequence,
    persisted: id::Sequence,
    waiting: VecDeque<(id::Sequence, Action)>,
    durable: id::Index,
    unsynced: VecDeque<(id::Sequence, id::Index)>,
}

impl Outbox {
    /// Creates the outbox of a replica whose log is synced up to `durable`.
    pub(super) fn new(durable: id::Index) -> Self {
        Self { durable, ..Self::default() }
    }

    /// Returns the index of the last synced entry.
    pub(super) fn durable(&self) -> id::Index {
        self.durable
    }

    /// Returns the oldest write that is not synced.
    pub(super) fn oldest_unsynced(&self) -> Option<id::Sequence> {
        self.unsynced.front().map(|(sequence, _)| *sequence)
    }

    /// Returns the write that contains all changes so far.
    pub(super) fn covering_write(&self) -> id::Sequence {
        if self.is_dirty() { self.issued.next() } else { self.issued }
    }

    /// Returns whether `write` is synced.
    pub(super) fn is_persisted(&self, write: id::Sequence) -> bool {
        write <= self.persisted
    }

    /// Returns whether there are changes that no issued write contains.
    pub(super) fn is_dirty(&self) -> bool {
        self.hard_state_changed || self.entries_from.is_some() || self.snapshot.is_some()
    }

    /// Releases `action` once all changes so far are synced.
    pub(super) fn push_synced(&mut self, action: Action) {
        let write = self.covering_write();
        if self.is_persisted(write) {
            self.actions.push(action);
        } else {
            self.waiting.push_back((write, action));
        }
    }

    /// Records that the entries from `index` on have to be written.
    pub(super) fn note_entries(&mut self, index: id::Index) {
        self.entries_from = Some(self.entries_from.map_or(index, |from| from.min(index)));
    }

    /// Records that the stored entries from `index` on were removed from the log.
    pub(super) fn note_truncated(&mut self, index: id::Index) {
        let last = index.previous();
        self.durable = self.durable.min(last);
        for (_, unsynced) in &mut self.unsynced {
            *unsynced = (*unsynced).min(last);
        }
    }

    /// Issues a new write, whose sync makes the log durable up to `last`, and returns its number.
    pub(super) fn issue(&mut self, last: id::Index) -> id::Sequence {
        self.issued = self.issued.next();
        self.unsynced.push_back((self.issued, last));
        self.issued
    }

    /// Records that the writes up to `sequence` are synced, and releases the actions that waited
    /// for them.
    pub(super) fn persisted(&mut self, sequence: id::Sequence) {
        self.persisted = self.persisted.max(sequence.min(self.issued));
        while self.unsynced.front().is_some_and(|(number, _)| *number <= self.persisted) {
            let Some((_, last)) = self.unsynced.pop_front() else { break };
            self.durable = self.durable.max(last);
        }
        while self.waiting.front().is_some_and(|(write, _)| *write <= self.persisted) {
            let Some((_, action)) = self.waiting.pop_front() else { break };
            self.actions.push(action);
        }
    }
}
