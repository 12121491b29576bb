use crate::id;
use crate::membership::Membership;

/// Memberships by the log index from which they apply, as far back as the log may be truncated.
#[derive(Clone, Debug)]
pub struct History {
    versions: Vec<(id::Index, Membership)>,
}

impl History {
    /// Creates a history that starts with `membership` at `index`.
    pub fn new(index: id::Index, membership: Membership) -> Self {
        Self { versions: vec![(index, membership)] }
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

    /// Adds the membership of the entry at `index`.
    pub fn push(&mut self, index: id::Index, membership: Membership) {
        self.versions.push((index, membership));
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
