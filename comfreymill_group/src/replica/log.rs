use crate::entry;
use crate::id;
use crate::membership;
use crate::snapshot;
use std::collections::VecDeque;

/// Entries in memory, after a base that the newest snapshots cover.
#[derive(Debug)]
pub(super) struct Log {
    base_index: id::Index,
    base_term: id::Term,
    entries: VecDeque<entry::Entry>,
    history: membership::History,
}

impl Log {
    /// Log that goes on after `meta`.
    pub(super) fn new(meta: &snapshot::SnapshotMeta) -> Self {
        Self {
            base_index: meta.index,
            base_term: meta.term,
            entries: VecDeque::new(),
            history: membership::History::new(meta.index, meta.membership.clone()),
        }
    }

    /// Index before the first entry in memory.
    pub(super) fn base_index(&self) -> id::Index {
        self.base_index
    }

    /// Index of the last entry.
    pub(super) fn last_index(&self) -> id::Index {
        self.base_index.plus(self.entries.len() as u64)
    }

    /// Term of the last entry.
    pub(super) fn last_term(&self) -> id::Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Whether no entry was ever written.
    pub(super) fn is_empty(&self) -> bool {
        self.last_index() == id::Index::ZERO
    }

    /// Memberships of the log.
    pub(super) fn history(&self) -> &membership::History {
        &self.history
    }

    /// Entry at `index`, if in memory.
    pub(super) fn get(&self, index: id::Index) -> Option<&entry::Entry> {
        if index <= self.base_index {
            return None;
        }
        let offset = index.distance_from(self.base_index) - 1;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Term at `index`, if known.
    pub(super) fn term_at(&self, index: id::Index) -> Option<id::Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Entries from `from` to `to`, as many as fit into `max_bytes` and at least one.
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

    /// Bytes of the entries from `from` to `to`.
    pub(super) fn size_bytes(&self, from: id::Index, to: id::Index) -> usize {
        let indexes = (from.get()..=to.get()).map(id::Index::new);
        indexes.filter_map(|index| self.get(index)).map(entry::Entry::size_bytes).sum()
    }

    /// Index before the last `entries` entries up to `to`, or before fewer of at most `bytes`.
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

    /// First index in memory whose entry has the same term as that at `index`.
    pub(super) fn first_of_term(&self, index: id::Index) -> id::Index {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base_index.next() && self.term_at(first.previous()) == term {
            first = first.previous();
        }
        first
    }

    /// Adds the entry that follows the last one.
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

    /// Drops the entries up to `index` from memory.
    pub(super) fn compact_to(&mut self, index: id::Index) {
        let Some(term) = self.term_at(index) else { return };
        let dropped = index.distance_from(self.base_index);
        self.entries.drain(..usize::try_from(dropped).unwrap_or(usize::MAX));
        self.base_index = index;
        self.base_term = term;
        self.history.compact_to(index);
    }
}
