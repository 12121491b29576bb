use crate::entry;
use crate::id;
use crate::membership;
use crate::replica::Replica;
use crate::replica::election::State;
use crate::replica::peer::Peer;
use comfreymill_types::time;
use std::time::Duration;

/// Time after which a disk that has synced nothing counts as hung.
const MAX_SYNC_TIME: Duration = Duration::from_secs(10);

/// Error returned when a membership change is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ChangeError {
    /// This replica is not the leader.
    #[error("this replica is not the leader of the group")]
    NotLeader {
        /// Leader, if known.
        hint: Option<id::VoterId>,
    },
    /// The leader has no valid lease, or has not committed an entry of its own term yet.
    #[error("the leader has no valid lease or has not committed an entry of its term yet")]
    NotReady,
    /// The previous membership change is not committed yet.
    #[error("the membership change at entry {index} is not committed yet")]
    InProgress {
        /// Entry of the previous change.
        index: id::Index,
    },
    /// The replica to add has not announced itself to the leader.
    #[error("voter {voter} has not announced itself: start it with this group's members as peers")]
    NotAnnounced {
        /// Replica to add.
        voter: id::VoterId,
    },
    /// The replica to add is already a member.
    #[error("voter {voter} is already a member")]
    AlreadyMember {
        /// Replica to add.
        voter: id::VoterId,
    },
    /// The replica to promote or remove is not a member, or the one to promote is already a voter.
    #[error("voter {voter} is not a member, or is already a voter")]
    InvalidMember {
        /// Replica to promote or remove.
        voter: id::VoterId,
    },
    /// The learner is too far behind, or the leader has no recent response from it.
    #[error("learner {voter} has not caught up: {lag} entries behind, or no recent response")]
    NotCaughtUp {
        /// Learner to promote.
        voter: id::VoterId,
        /// Number of entries that the learner is behind.
        lag: u64,
    },
    /// The replica to add has no entries, and the quorum would grow by it.
    #[error("voter {voter} has no entries and would raise the quorum: add it as a learner")]
    RaisesQuorum {
        /// Replica to add.
        voter: id::VoterId,
    },
    /// The leader can't remove itself.
    #[error("voter {voter} is the leader: transfer leadership to another voter first")]
    RemovesLeader {
        /// Replica to remove.
        voter: id::VoterId,
    },
}

impl Replica {
    /// Starts a membership change, and returns the index of its entry. The change is complete once
    /// that entry is committed.
    ///
    /// # Errors
    ///
    /// Fails if this replica is not a serving leader, the previous change is not committed, or the
    /// change doesn't apply to the membership.
    pub fn change_membership(
        &mut self,
        now: time::Monotonic,
        change: membership::Change,
    ) -> Result<id::Index, ChangeError> {
        self.check_change(now)?;
        let next = match change {
            membership::Change::AddLearner(voter) => {
                let disk = self.take_newcomer(now, voter)?;
                self.membership().with_learner(voter, disk)
            }
            membership::Change::AddVoter(voter) if self.membership().quorum_grows_by_voter() => {
                return Err(ChangeError::RaisesQuorum { voter });
            }
            membership::Change::AddVoter(voter) => {
                let disk = self.take_newcomer(now, voter)?;
                self.membership().with_voter(voter, disk)
            }
            membership::Change::Promote(voter) => self.with_promoted(now, voter)?,
            membership::Change::Remove(voter) => self.without(voter)?,
        };
        self.append_own(entry::Payload::Membership(next));
        self.sync_peers(now);
        self.replicate_at = Some(now);
        Ok(self.log.last_index())
    }

    fn check_change(&self, now: time::Monotonic) -> Result<(), ChangeError> {
        let hint = self.leader.filter(|leader| *leader != self.voter);
        let State::Leader(leader) = &self.state else {
            return Err(ChangeError::NotLeader { hint });
        };
        if leader.transfer.is_some() || self.halted.is_some() {
            return Err(ChangeError::NotLeader { hint });
        }
        if !self.is_ready() || !self.lease_valid(now) {
            return Err(ChangeError::NotReady);
        }
        let index = self.log.history().current_index();
        if index > self.commit {
            return Err(ChangeError::InProgress { index });
        }
        Ok(())
    }

    /// Returns the disk of the newcomer to add, whose announcement is used up by it.
    fn take_newcomer(
        &mut self,
        now: time::Monotonic,
        voter: id::VoterId,
    ) -> Result<id::DiskId, ChangeError> {
        if self.membership().get(voter).is_some() {
            return Err(ChangeError::AlreadyMember { voter });
        }
        let newcomer = self.newcomers.remove(&voter).filter(|newcomer| newcomer.is_recent(now));
        let Some(newcomer) = newcomer else {
            return Err(ChangeError::NotAnnounced { voter });
        };
        Ok(newcomer.disk)
    }

    fn with_promoted(
        &self,
        now: time::Monotonic,
        voter: id::VoterId,
    ) -> Result<membership::Membership, ChangeError> {
        let member = self.membership().get(voter);
        if member.is_none_or(membership::Member::is_voter) {
            return Err(ChangeError::InvalidMember { voter });
        }
        let State::Leader(leader) = &self.state else {
            return Err(ChangeError::NotReady);
        };
        let peer = leader.peers.get(&voter);
        let may_vote = |peer: &Peer| {
            if self.membership().quorum_grows_by_voter() {
                self.has_caught_up(now, peer)
            } else {
                peer.has_recent_response(now, self.cfg.get_lease())
            }
        };
        if !peer.is_some_and(may_vote) {
            let matched = peer.map_or(id::Index::ZERO, |peer| peer.matched);
            let lag = self.log.last_index().distance_from(matched);
            return Err(ChangeError::NotCaughtUp { voter, lag });
        }
        Ok(self.membership().with_promoted(voter))
    }

    /// Returns whether a member answers and lacks few or only new entries. However many entries a
    /// second are added, a voter lacks those of its last syncs.
    pub(super) fn has_caught_up(&self, now: time::Monotonic, peer: &Peer) -> bool {
        let is_close =
            self.is_close(peer) || peer.has_entries_of(now, self.cfg.get_election_timeout_max());
        is_close && self.has_answered(now, peer)
    }

    /// Returns whether a member answers and its disk has synced entries lately.
    pub(super) fn syncs_entries(&self, now: time::Monotonic, peer: &Peer) -> bool {
        let is_syncing = self.is_close(peer) || peer.has_progressed_within(now, MAX_SYNC_TIME);
        is_syncing && self.has_answered(now, peer)
    }

    fn is_close(&self, peer: &Peer) -> bool {
        let lag = self.log.last_index().distance_from(peer.matched);
        lag <= self.cfg.get_promote_lag_entries()
    }

    fn has_answered(&self, now: time::Monotonic, peer: &Peer) -> bool {
        peer.has_recent_response(now, self.cfg.get_lease()) && peer.matched != id::Index::ZERO
    }

    fn without(&self, voter: id::VoterId) -> Result<membership::Membership, ChangeError> {
        if voter == self.voter {
            return Err(ChangeError::RemovesLeader { voter });
        }
        if self.membership().get(voter).is_none() {
            return Err(ChangeError::InvalidMember { voter });
        }
        Ok(self.membership().without(voter))
    }
}
