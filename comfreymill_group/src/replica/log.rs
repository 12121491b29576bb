use crate::entry;
use crate::id;
use crate::membership;
use crate::snapshot;
use std::collections::VecDeque;

/// Log entries in memory, after a base index that a snapshot covers.
#[derive(Debug)]
pub(super) struct Log {
    base_index: id::Index,
    base_term: id::Term,
    entries: VecDeque<entry::Entry>,
    history: membership::History,
}

impl Log {
    /// Creates an empty log that starts after the snapshot of `meta`.
    pub(super) fn new(meta: &snapshot::SnapshotMeta) -> Self {
        Self {
            base_index: meta.index,
            base_term: meta.term,
            entries: VecDeque::new(),
            history: membership::History::new(meta.index, meta.membership.clone()),
        }
    }

    /// Returns the index before the first entry in memory.
    pub(super) fn base_index(&self) -> id::Index {
        self.base_index
    }

    /// Returns the index of the last entry.
    pub(super) fn last_index(&self) -> id::Index {
        self.base_index.plus(self.entries.len() as u64)
    }

    /// Returns the term of the last entry.
    pub(super) fn last_term(&self) -> id::Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Returns whether the log has never held an entry.
    pub(super) fn is_empty(&self) -> bool {
        self.last_index() == id::Index::ZERO
    }

    /// Returns the memberships of the log.
    pub(super) fn history(&self) -> &membership::History {
        &self.history
    }

    /// Returns the entry at `index`, if it is in memory.
    pub(super) fn get(&self, index: id::Index) -> Option<&entry::Entry> {
        if index <= self.base_index {
            return None;
        }
        let offset = index.distance_from(self.base_index) - 1;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the term at `index`, if it is the base or in memory.
    pub(super) fn term_at(&self, index: id::Index) -> Option<id::Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entries from `from` to `to`, as many as fit into `max_bytes` and at least one.
    pub(super) fn slice(
        &self,
        from: id::Index,
        to: id::Index,
        max_bytes: usize,
    ) -> Vec<entry::Entry> {
        let mut bytes = 0;
        let mut slice = Vec::new();
        let mut index = from;
        while index <= to {
            let Some(entry) = self.get(index) else { break };
            bytes += entry.size_bytes();
            if bytes > max_bytes && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
            index = index.next();
        }
        slice
    }

    /// Returns the size in bytes of the entries from `from` to `to`.
    pub(super) fn size_bytes(&self, from: id::Index, to: id::Index) -> usize {
        let indexes = (from.get()..=to.get()).map(id::Index::new);
        indexes.filter_map(|index| self.get(index)).map(entry::Entry::size_bytes).sum()
    }

    /// Returns the index before the longest run of entries up to `to` that has at most `entries`
    /// entries and `bytes` bytes.
    pub(super) fn tail_start(&self, to: id::Index, entries: u64, bytes: usize) -> id::Index {
        let mut start = to;
        let mut tail_bytes = 0;
        while to.distance_from(start) < entries {
            let Some(entry) = self.get(start) else { break };
            tail_bytes += entry.size_bytes();
            if tail_bytes > bytes {
                break;
            }
            start = start.previous();
        }
        start
    }

    /// Returns the first index in memory of the run of entries up to `index` with its term.
    pub(super) fn first_of_term(&self, index: id::Index) -> id::Index {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base_index.next() && self.term_at(first.previous()) == term {
            first = first.previous();
        }
        first
    }

    /// Appends the entry after the last one.
    pub(super) fn push(&mut self, entry: entry::Entry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        if let entry::Payload::Membership(membership) = &entry.payload {
            self.history.push(entry.index, membership.clone());
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub(super) fn truncate_from(&mut self, index: id::Index) {
        let kept = index.previous().distance_from(self.base_index);
        self.entries.truncate(usize::try_from(kept).unwrap_or(usize::MAX));
        self.history.truncate_from(index);
    }

    /// Removes the entries up to `index` from memory.
    pub(super) fn compact_to(&mut self, index: id::Index) {
        let Some(term) = self.term_at(index) else { return };
        let dropped = index.distance_from(self.base_index);
        self.entries.drain(..usize::try_from(dropped).unwrap_or(usize::MAX));
        self.base_index = index;
        self.base_term = term;
        self.history.compact_to(index);
    }
}
