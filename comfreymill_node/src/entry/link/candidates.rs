use std::net::SocketAddr;

use comfreymill_types::id;

/// Voters to try as leader, in round-robin order.
#[derive(Clone, Debug)]
pub(super) struct Candidates {
    voters: Vec<(id::VoterName, SocketAddr)>,
    next: usize,
}

impl Candidates {
    pub(super) fn new(voters: Vec<(id::VoterName, SocketAddr)>) -> Self {
        Self { voters, next: 0 }
    }

    /// Returns the voter to try now and advances to the next one.
    pub(super) fn take_next(&mut self) -> Option<(id::VoterName, SocketAddr)> {
        let index = self.next.checked_rem(self.voters.len())?;
        self.next = index + 1;
        self.voters.get(index).cloned()
    }

    /// Makes the voter that was named as leader the next to try.
    pub(super) fn prefer(&mut self, leader: &id::VoterName) {
        if let Some(index) = self.voters.iter().position(|(name, _)| name == leader) {
            self.next = index;
        }
    }

    /// Returns whether the end of the list has been reached.
    pub(super) fn is_round_complete(&self) -> bool {
        self.next >= self.voters.len()
    }
}
