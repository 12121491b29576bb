use std::collections::BTreeMap;

use comfreymill_group::id;

use super::waiter::Waiter;

/// Proposals that are not committed yet, by their position.
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
    /// Notes who waits for the entry at `index`.
    pub(super) fn add(&mut self, index: id::Index, term: id::Term, waiter: Waiter) {
        self.waiting.insert(index, Proposal { term, waiter });
    }

    /// Waiter for a committed entry; none if another term's entry took its place.
    pub(super) fn take(&mut self, index: id::Index, term: id::Term) -> Option<Waiter> {
        let proposal = self.waiting.remove(&index)?;
        (proposal.term == term).then_some(proposal.waiter)
    }

    /// Every waiter, since this replica no longer leads.
    pub(super) fn take_all(&mut self) -> Vec<Waiter> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_values().map(|proposal| proposal.waiter).collect()
    }
}
