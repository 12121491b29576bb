use crate::id;
use crate::membership;
use crate::replica::Replica;
use crate::replica::election::State;
use crate::replica::{Halt, Role};
use comfreymill_types::time;
use std::time::Duration;

/// State of a replica, as shown to operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// Id of the replica.
    pub voter: id::VoterId,
    /// Disk of the replica.
    pub disk: id::DiskId,
    /// Current role.
    pub role: Role,
    /// Current term.
    pub term: id::Term,
    /// Leader of the term, if known.
    pub leader: Option<id::VoterId>,
    /// Whether the replica is a leader with a valid lease and is ready to serve.
    pub serving: bool,
    /// Index of the last entry known to be committed.
    pub commit: id::Index,
    /// Index of the last log entry.
    pub last: id::Index,
    /// Index of the last entry synced on this replica.
    pub synced: id::Index,
    /// Index of the last entry that the newest snapshot covers.
    pub snapshot: id::Index,
    /// Newest membership of the log, whether its entry is committed or not.
    pub membership: membership::Membership,
    /// Other members, as tracked by the leader; empty on other replicas.
    pub peers: Vec<PeerStatus>,
    /// Replicas that announced themselves lately and are not members.
    pub newcomers: Vec<NewcomerStatus>,
    /// Why the replica halted, if it did.
    pub halted: Option<Halt>,
}

/// State of another member, as tracked by the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerStatus {
    /// Id of the member.
    pub voter: id::VoterId,
    /// Index of the last entry known to be synced on the member.
    pub matched: id::Index,
    /// Time since the member's last response, if there was one.
    pub silent_for: Option<Duration>,
    /// Time since the leader began to track the member.
    pub tracked_for: Duration,
    /// Time for which the member has been silent, if it was never heard by this leader.
    pub unheard_for: Duration,
    /// Whether a snapshot is being sent to the member.
    pub is_receiving_snapshot: bool,
    /// Whether the member lacks few or only new entries, so that it may raise the quorum as a voter.
    pub has_caught_up: bool,
    /// Whether the member answers and its disk has synced entries lately, however many it lacks.
    pub syncs_entries: bool,
}

/// Replica with an empty log that announced itself and is not a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NewcomerStatus {
    /// Id of the replica.
    pub voter: id::VoterId,
    /// Time since its newest announcement.
    pub silent_for: Duration,
}

impl Replica {
    /// Returns the state of the replica at `now`.
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
                silent_for: peer
                    .last_response_at
                    .map(|last_response_at| now.since(last_response_at)),
                tracked_for: now.since(peer.tracked_since),
                unheard_for: peer.unheard_for(now),
                is_receiving_snapshot: peer.is_receiving_snapshot(),
                has_caught_up: self.has_caught_up(now, peer),
                syncs_entries: self.syncs_entries(now, peer),
            })
            .collect()
    }
}
