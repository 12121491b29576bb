use std::collections::BTreeMap;

use comfreymill_group::id;

/// Proposals that are not committed yet, by their log index, each with the waiter for its commit.
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
    /// Adds a proposal at `index` with the waiter for its commit.
    pub(crate) fn add(&mut self, index: id::Index, term: id::Term, waiter: W) {
        self.waiting.insert(index, Proposal { term, waiter });
    }

    /// Returns the number of proposals that are not committed yet.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Removes the proposal at the index of a committed entry and returns its waiter; `None` if there is
    /// none or an entry of another term was committed in its place.
    pub(crate) fn take(&mut self, index: id::Index, term: id::Term) -> Option<W> {
        let proposal = self.waiting.remove(&index)?;
        (proposal.term == term).then_some(proposal.waiter)
    }

    /// Removes all proposals and returns their waiters, when this replica is no longer the leader.
    pub(crate) fn take_all(&mut self) -> Vec<W> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_values().map(|proposal| proposal.waiter).collect()
    }
}
