use crate::id;
use crate::membership;
use crate::replica::Replica;
use crate::replica::election::State;
use crate::replica::{Halt, Role};
use comfreymill_types::time;
use std::time::Duration;

/// State of a replica for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// Id of the replica.
    pub voter: id::VoterId,
    /// Its disk.
    pub disk: id::DiskId,
    /// Part it plays.
    pub role: Role,
    /// Term now.
    pub term: id::Term,
    /// Leader of the term, if known.
    pub leader: Option<id::VoterId>,
    /// Whether it holds a valid lease and is ready.
    pub serving: bool,
    /// Last entry known to be committed.
    pub commit: id::Index,
    /// Last entry of its log.
    pub last: id::Index,
    /// Last entry that is synced here.
    pub synced: id::Index,
    /// Last entry that the newest snapshot covers.
    pub snapshot: id::Index,
    /// Membership of the newest entry.
    pub membership: membership::Membership,
    /// Other members, as a leader sees them; empty elsewhere.
    pub peers: Vec<PeerStatus>,
    /// Replicas that announced themselves and are not members.
    pub newcomers: Vec<id::VoterId>,
    /// Why it takes no further part.
    pub halted: Option<Halt>,
}

/// State of another member, as the leader sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerStatus {
    /// Id of the member.
    pub voter: id::VoterId,
    /// Last entry known to be synced there.
    pub matched: id::Index,
    /// Time since its last answer, if there was one.
    pub silent_for: Option<Duration>,
    /// Whether a snapshot is on its way there.
    pub takes_snapshot: bool,
}

impl Replica {
    /// State for operators.
    pub fn status(&self, now: time::Monotonic) -> Status {
        Status {
            voter: self.voter,
            disk: self.disk,
            role: self.role(),
            term: self.term(),
            leader: self.leader,
            serving: self.lease_valid(now) && self.is_ready(),
            commit: self.commit,
            last: self.log.last_index(),
            synced: self.outbox.durable(),
            snapshot: self.snapshot_index(),
            membership: self.membership().clone(),
            peers: self.peer_statuses(now),
            newcomers: self.newcomers(now),
            halted: self.halted,
        }
    }

    fn peer_statuses(&self, now: time::Monotonic) -> Vec<PeerStatus> {
        let State::Leader(leader) = &self.state else { return Vec::new() };
        leader
            .peers
            .iter()
            .map(|(voter, peer)| PeerStatus {
                voter: *voter,
                matched: peer.matched,
                silent_for: peer.heard_at.map(|heard_at| now.since(heard_at)),
                takes_snapshot: peer.takes_snapshot(),
            })
            .collect()
    }
}
