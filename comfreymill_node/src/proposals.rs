use std::collections::BTreeMap;

use comfreymill_group::id;

/// Proposals that are not committed yet, by their position.
#[derive(Debug)]
pub(crate) struct Proposals<W> {
    waiting: BTreeMap<id::Index, Proposal<W>>,
}

#[derive(Debug)]
struct Proposal<W> {
    term: id::Term,
    waiter: W,
}

impl<W> Default for Proposals<W> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new() }
    }
}

impl<W> Proposals<W> {
    /// Notes who waits for the entry at `index`.
    pub(crate) fn add(&mut self, index: id::Index, term: id::Term, waiter: W) {
        self.waiting.insert(index, Proposal { term, waiter });
    }

    /// Waiter for a committed entry; none if another term's entry took its place.
    pub(crate) fn take(&mut self, index: id::Index, term: id::Term) -> Option<W> {
        let proposal = self.waiting.remove(&index)?;
        (proposal.term == term).then_some(proposal.waiter)
    }

    /// Every waiter, since this replica no longer leads.
    pub(crate) fn take_all(&mut self) -> Vec<W> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_values().map(|proposal| proposal.waiter).collect()
    }
}
