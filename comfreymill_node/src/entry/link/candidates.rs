use std::net::SocketAddr;

use comfreymill_types::id;

/// Voters that may lead, tried in turn.
#[derive(Clone, Debug)]
pub(super) struct Candidates {
    voters: Vec<(id::VoterName, SocketAddr)>,
    next: usize,
}

impl Candidates {
    pub(super) fn new(voters: Vec<(id::VoterName, SocketAddr)>) -> Self {
        Self { voters, next: 0 }
    }

    /// Voter to try now; the one after it follows.
    pub(super) fn take_next(&mut self) -> Option<(id::VoterName, SocketAddr)> {
        let index = self.next.checked_rem(self.voters.len())?;
        self.next = index + 1;
        self.voters.get(index).cloned()
    }

    /// Puts the voter that is said to lead next in turn.
    pub(super) fn prefer(&mut self, leader: &id::VoterName) {
        if let Some(index) = self.voters.iter().position(|(name, _)| name == leader) {
            self.next = index;
        }
    }

    /// Whether every voter was tried once since the first.
    pub(super) fn is_round_over(&self) -> bool {
        self.next >= self.voters.len()
    }
}
