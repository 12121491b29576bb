use crate::id;
use crate::membership::Membership;
use std::collections::VecDeque;

/// Maximum number of former members that are remembered.
const MAX_FORMER: usize = 8;

/// Memberships by the log index from which they apply, as far back as the log may be truncated, and
/// the newest former members.
#[derive(Clone, Debug)]
pub struct History {
    versions: Vec<(id::Index, Membership)>,
    /// Members that a later version removed, the newest last.
    former: VecDeque<(id::VoterId, id::DiskId)>,
}

impl History {
    /// Creates a history that starts with `membership` at `index`.
    pub fn new(index: id::Index, membership: Membership) -> Self {
        Self { versions: vec![(index, membership)], former: VecDeque::new() }
    }

    /// Returns the newest membership, whether its entry is committed or not.
    pub fn current(&self) -> &Membership {
        &self.versions[self.versions.len() - 1].1
    }

    /// Returns the index of the entry that holds the newest membership.
    pub fn current_index(&self) -> id::Index {
        self.versions[self.versions.len() - 1].0
    }

    /// Returns the membership that applies at `index`.
    pub fn at(&self, index: id::Index) -> &Membership {
        let version = self.versions.iter().rev().find(|(start, _)| *start <= index);
        &version.unwrap_or(&self.versions[0]).1
    }

    /// Iterates over the newest former members, which a truncation may have made members again.
    pub fn former(&self) -> impl Iterator<Item = (id::VoterId, id::DiskId)> + '_ {
        self.former.iter().copied()
    }

    /// Adds the membership of the entry at `index`.
    pub fn push(&mut self, index: id::Index, membership: Membership) {
        self.record_former(&membership);
        self.versions.push((index, membership));
    }

    /// Starts again with the membership of a snapshot at `index`.
    pub fn reset(&mut self, index: id::Index, membership: Membership) {
        self.record_former(&membership);
        self.versions = vec![(index, membership)];
    }

    fn record_former(&mut self, next: &Membership) {
        let removed = self.current().iter().map(|(voter, member)| (voter, member.disk));
        let removed: Vec<_> =
            removed.filter(|(voter, disk)| !next.contains(*voter, *disk)).collect();
        for member in removed {
            self.former.retain(|former| *former != member);
            self.former.push_back(member);
        }
        while self.former.len() > MAX_FORMER {
            self.former.pop_front();
        }
    }

    /// Removes the memberships of entries at `index` and after, except the first of the history.
    pub fn truncate_from(&mut self, index: id::Index) {
        while self.versions.len() > 1 && self.current_index() >= index {
            self.versions.pop();
        }
    }

    /// Removes the memberships that no longer apply at `index`.
    pub fn compact_to(&mut self, index: id::Index) {
        let ended = self.versions.iter().skip(1).take_while(|(start, _)| *start <= index).count();
        self.versions.drain(..ended);
    }
}
