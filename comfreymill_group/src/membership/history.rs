use crate::id;
use crate::membership::Membership;

/// Memberships by the index that put them in force, as far back as the log may be cut.
#[derive(Clone, Debug)]
pub struct History {
    versions: Vec<(id::Index, Membership)>,
}

impl History {
    /// History that starts with `membership` in force at `index`.
    pub fn new(index: id::Index, membership: Membership) -> Self {
        Self { versions: vec![(index, membership)] }
    }

    /// Membership of the newest entry, committed or not.
    pub fn current(&self) -> &Membership {
        &self.versions[self.versions.len() - 1].1
    }

    /// Index that put the newest membership in force.
    pub fn current_index(&self) -> id::Index {
        self.versions[self.versions.len() - 1].0
    }

    /// Membership in force at `index`.
    pub fn at(&self, index: id::Index) -> &Membership {
        let later = self.versions.iter().rev().find(|(start, _)| *start <= index);
        &later.unwrap_or(&self.versions[0]).1
    }

    /// Adds the membership of the entry at `index`.
    pub fn push(&mut self, index: id::Index, membership: Membership) {
        self.versions.push((index, membership));
    }

    /// Forgets memberships of entries from `index` on.
    pub fn truncate_from(&mut self, index: id::Index) {
        while self.versions.len() > 1 && self.current_index() >= index {
            self.versions.pop();
        }
    }

    /// Forgets memberships that ended before `index`.
    pub fn compact_to(&mut self, index: id::Index) {
        let ended = self.versions.iter().skip(1).take_while(|(start, _)| *start <= index).count();
        self.versions.drain(..ended);
    }
}
