use std::collections::BTreeMap;

use comfreymill_group::id;

use super::waiter::Waiter;

/// Uncommitted proposals by log index.
#[derive(Debug, Default)]
pub(super) struct Proposals {
    waiting: BTreeMap<id::Index, Proposal>,
}

#[derive(Debug)]
struct Proposal {
    term: id::Term,
    waiter: Waiter,
}

impl Proposals {
    /// Records the waiter for the entry at `index`.
    pub(super) fn add(&mut self, index: id::Index, term: id::Term, waiter: Waiter) {
        self.waiting.insert(index, Proposal { term, waiter });
    }

    /// Returns the waiter for a committed entry, or `None` if the entry is of another term and
    /// replaced the proposal.
    pub(super) fn take(&mut self, index: id::Index, term: id::Term) -> Option<Waiter> {
        let proposal = self.waiting.remove(&index)?;
        (proposal.term == term).then_some(proposal.waiter)
    }

    /// Removes and returns all waiters, which is done when this replica is no longer the leader.
    pub(super) fn take_all(&mut self) -> Vec<Waiter> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_values().map(|proposal| proposal.waiter).collect()
    }
}
