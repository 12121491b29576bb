use crate::id;
use crate::message;
use crate::replica::Replica;
use crate::replica::election::State;
use comfreymill_types::time;

/// Leadership transfer in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transfer {
    pub(super) to: id::VoterId,
    pub(super) deadline: time::Monotonic,
    /// Whether the successor was told to start an election; the transfer can't be cancelled then.
    pub(super) lease_released: bool,
}

/// Error returned when leadership can't be transferred.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TransferError {
    /// This replica is not the leader.
    #[error("this replica is not the leader of the group")]
    NotLeader {
        /// Leader, if known.
        hint: Option<id::VoterId>,
    },
    /// The successor is not another voter.
    #[error("voter {to} can't become leader: it is this replica or not a voter")]
    NotVoter {
        /// Requested successor.
        to: id::VoterId,
    },
}

impl Replica {
    /// Transfers leadership to `to` once it has all entries; proposals are rejected meanwhile.
    ///
    /// # Errors
    ///
    /// Fails if this replica is not the leader, or `to` is not another voter.
    pub fn transfer_leadership(
        &mut self,
        now: time::Monotonic,
        to: id::VoterId,
    ) -> Result<(), TransferError> {
        let deadline = now + self.cfg.get_election_timeout_max();
        let hint = self.leader.filter(|leader| *leader != self.voter);
        let is_voter = self.membership().voters().any(|voter| voter == to);
        let State::Leader(leader) = &mut self.state else {
            return Err(TransferError::NotLeader { hint });
        };
        if !is_voter || to == self.voter {
            return Err(TransferError::NotVoter { to });
        }
        if leader.transfer.is_none() {
            leader.transfer = Some(Transfer { to, deadline, lease_released: false });
        }
        self.tick_transfer(now);
        Ok(())
    }

    /// Returns the other voter whose log matches furthest; among equals, the latest to respond.
    pub fn best_successor(&self) -> Option<id::VoterId> {
        let State::Leader(leader) = &self.state else { return None };
        let others = self.membership().voters().filter(|voter| *voter != self.voter);
        others.max_by_key(|voter| {
            leader.peers.get(voter).map(|peer| (peer.matched, peer.last_response_at))
        })
    }

    /// Returns whether a leadership transfer is in progress.
    pub(super) fn is_transferring(&self) -> bool {
        matches!(&self.state, State::Leader(leader) if leader.transfer.is_some())
    }

    /// Continues the leadership transfer, or ends it at its deadline.
    pub(super) fn tick_transfer(&mut self, now: time::Monotonic) {
        let last = self.log.last_index();
        let State::Leader(leader) = &mut self.state else { return };
        let Some(transfer) = &mut leader.transfer else { return };
        if now >= transfer.deadline {
            if transfer.lease_released {
                self.become_follower(now, self.term());
            } else {
                leader.transfer = None;
            }
            return;
        }
        let to = transfer.to;
        let Some(peer) = leader.peers.get(&to) else { return };
        if peer.matched == last && !transfer.lease_released {
            transfer.lease_released = true;
            let disk = peer.disk;
            self.send(to, disk, message::Body::TimeoutNow(message::TimeoutNow {}));
        }
    }

    /// Starts an election immediately, if the leader of the term asked for it.
    pub(super) fn handle_timeout_now(&mut self, now: time::Monotonic, from: id::VoterId) {
        if self.leader == Some(from) && self.is_voter() {
            self.start_election(now, true);
        }
    }
}
