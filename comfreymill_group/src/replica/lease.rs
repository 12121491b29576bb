use crate::entry;
use crate::id;
use crate::message;
use crate::replica::Replica;
use crate::replica::election::State;
use crate::replica::peer::Peer;
use crate::replica::transfer::Transfer;
use comfreymill_types::time;
use std::collections::BTreeMap;

/// State of a leader.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) peers: BTreeMap<id::VoterId, Peer>,
    /// First entry of the leader's own term.
    pub(super) noop: id::Index,
    pub(super) elected_at: time::Monotonic,
    pub(super) heartbeat_at: time::Monotonic,
    /// When former members are told next that they were removed.
    pub(super) refuse_at: time::Monotonic,
    pub(super) uncommitted_bytes: usize,
    pub(super) transfer: Option<Transfer>,
}

impl Replica {
    /// Returns whether the lease is valid, so that no other replica can be leader at `now`.
    pub fn lease_valid(&self, now: time::Monotonic) -> bool {
        let State::Leader(leader) = &self.state else { return false };
        if leader.transfer.as_ref().is_some_and(|transfer| transfer.lease_released) {
            return false;
        }
        let confirmed_at = self.quorum_confirmed_at(leader, now);
        confirmed_at.is_some_and(|at| now.since(at) < self.cfg.get_lease())
    }

    /// Returns whether the replica is leader and has delivered all that earlier leaders committed.
    pub fn is_ready(&self) -> bool {
        match &self.state {
            State::Leader(leader) => self.delivered >= leader.noop,
            _ => false,
        }
    }

    /// Becomes leader of the current term.
    pub(super) fn become_leader(&mut self, now: time::Monotonic) {
        let next = self.log.last_index().next();
        let leader = Leader {
            peers: BTreeMap::new(),
            noop: next,
            elected_at: now,
            heartbeat_at: now,
            refuse_at: now,
            uncommitted_bytes: 0,
            transfer: None,
        };
        let candidacy = self.state.take_candidacy();
        self.state = State::Leader(Box::new(leader));
        self.leader = Some(self.voter);
        self.incoming = None;
        log::info!(target: "group", "replica {} became leader in term {}", self.voter, self.term());
        self.sync_peers(now);
        self.note_earlier_silence(|voter| {
            candidacy.as_ref().is_some_and(|own| own.has_vote(voter))
        });
        self.append_own(entry::Payload::Noop);
        self.send_heartbeats(now);
        self.replicate_all(now);
    }

    /// Counts the silence of the last leader from when it was heard, and that of the other voters from
    /// when they were first asked for their votes, unless they gave them.
    fn note_earlier_silence<F>(&mut self, has_voted: F)
    where
        F: Fn(id::VoterId) -> bool,
    {
        let asked_at = self.asked_at.take();
        let last_leader = self.last_leader.zip(self.leader_heard_at);
        let State::Leader(leader) = &mut self.state else { return };
        let membership = self.log.history().current();
        let silent = membership.voters().filter(|voter| !has_voted(*voter));
        let asked = silent.filter_map(|voter| Some((voter, asked_at?)));
        for (voter, silent_since) in asked.chain(last_leader) {
            if let Some(peer) = leader.peers.get_mut(&voter) {
                peer.silent_since = peer.silent_since.min(silent_since);
            }
        }
    }

    /// Steps down if a quorum has not responded within the lease, transfers leadership if a write
    /// is stuck or the leader is not a voter, and sends heartbeats and retries that are due.
    pub(super) fn tick_leader(&mut self, now: time::Monotonic) {
        let State::Leader(leader) = &self.state else { return };
        let confirmed_at = self.quorum_confirmed_at(leader, now).unwrap_or(leader.elected_at);
        let since_confirmed = now.since(confirmed_at.max(leader.elected_at));
        if since_confirmed >= self.cfg.get_lease() {
            log::warn!(target: "group", "replica {} lost contact with a quorum", self.voter);
            self.become_follower(now, self.term());
            return;
        }
        if now >= leader.heartbeat_at {
            self.send_heartbeats(now);
        }
        if self.is_write_stuck(now) {
            log::warn!(target: "group", "replica {} has a stuck disk write", self.voter);
            self.give_up_leadership(now);
        } else if self.is_ready() && !self.is_voter() {
            self.give_up_leadership(now);
        }
        self.refuse_former(now);
        self.tick_transfer(now);
        self.retry_all(now);
    }

    /// Transfers leadership, or steps down if that is not possible. A leader whose disk is stuck
    /// can't acknowledge entries, and one that is not a voter leads only until a voter can.
    fn give_up_leadership(&mut self, now: time::Monotonic) {
        if self.is_transferring() {
            return;
        }
        let successor = self.best_successor();
        let transferred = successor.map(|to| self.transfer_leadership(now, to));
        if !matches!(transferred, Some(Ok(()))) {
            self.become_follower(now, self.term());
        }
    }

    /// Responds to a heartbeat immediately: renewing the lease doesn't depend on a write.
    pub(super) fn handle_heartbeat(
        &mut self,
        now: time::Monotonic,
        from: id::VoterId,
        disk: id::DiskId,
        heartbeat: message::Heartbeat,
    ) {
        self.follow(now, from);
        let commit = id::Index::new(heartbeat.commit).min(self.log.last_index());
        self.commit = self.commit.max(commit);
        let response = message::HeartbeatResponse { sent_at_micros: heartbeat.sent_at_micros };
        self.send(from, disk, message::Body::HeartbeatResponse(response));
    }

    /// Records that a follower responded to a heartbeat, which extends the lease.
    pub(super) fn handle_heartbeat_response(
        &mut self,
        now: time::Monotonic,
        from: id::VoterId,
        disk: id::DiskId,
        response: message::HeartbeatResponse,
    ) {
        let Some(peer) = self.peer_mut(from, disk) else { return };
        peer.confirm(time::Monotonic::from_micros(response.sent_at_micros), now);
        self.replicate(now, from);
    }

    /// Follows `leader` in the current term and restarts the election timer.
    pub(super) fn follow(&mut self, now: time::Monotonic, leader: id::VoterId) {
        self.become_follower(now, self.term());
        self.leader = Some(leader);
        self.leader_heard_at = Some(now);
        self.last_leader = Some(leader);
        self.asked_at = None;
        self.reset_election_timer(now);
    }

    fn send_heartbeats(&mut self, now: time::Monotonic) {
        let next_at = now + self.cfg.get_heartbeat();
        let commit = self.commit;
        let State::Leader(leader) = &mut self.state else { return };
        leader.heartbeat_at = next_at;
        let receivers: Vec<_> = leader
            .peers
            .iter()
            .map(|(to, peer)| (*to, peer.disk, peer.matched.min(commit).get()))
            .collect();
        for (to, disk, commit) in receivers {
            let heartbeat = message::Heartbeat { commit, sent_at_micros: now.as_micros() };
            self.send(to, disk, message::Body::Heartbeat(heartbeat));
        }
    }

    /// Returns the latest time such that a quorum has answered a message sent then or later.
    fn quorum_confirmed_at(
        &self,
        leader: &Leader,
        now: time::Monotonic,
    ) -> Option<time::Monotonic> {
        let mut confirmed: Vec<_> = self
            .membership()
            .voters()
            .map(|voter| match leader.peers.get(&voter) {
                Some(peer) => peer.confirmed_at,
                None => Some(now),
            })
            .collect();
        confirmed.sort_unstable();
        let quorum = self.membership().quorum();
        confirmed.len().checked_sub(quorum).and_then(|index| confirmed[index])
    }
}
