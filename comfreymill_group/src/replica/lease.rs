use crate::entry;
use crate::id;
use crate::message;
use crate::replica::Replica;
use crate::replica::election::State;
use crate::replica::peer::Peer;
use crate::replica::transfer::Transfer;
use comfreymill_types::time;
use std::collections::BTreeMap;

/// What a leader keeps.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) peers: BTreeMap<id::VoterId, Peer>,
    /// First entry of the leader's own term.
    pub(super) noop: id::Index,
    pub(super) elected_at: time::Monotonic,
    pub(super) heartbeat_at: time::Monotonic,
    pub(super) uncommitted_bytes: usize,
    pub(super) transfer: Option<Transfer>,
}

impl Replica {
    /// Whether no other replica can lead now.
    pub fn lease_valid(&self, now: time::Monotonic) -> bool {
        let State::Leader(leader) = &self.state else { return false };
        if leader.transfer.as_ref().is_some_and(|transfer| transfer.lease_given_up) {
            return false;
        }
        let confirmed_at = self.quorum_confirmed_at(leader, now);
        confirmed_at.is_some_and(|at| now.since(at) < self.cfg.get_lease())
    }

    /// Whether the replica leads and has delivered everything that earlier leaders committed.
    pub fn is_ready(&self) -> bool {
        match &self.state {
            State::Leader(leader) => self.delivered >= leader.noop,
            _ => false,
        }
    }

    /// Leads in the present term.
    pub(super) fn become_leader(&mut self, now: time::Monotonic) {
        let next = self.log.last_index().next();
        let leader = Leader {
            peers: BTreeMap::new(),
            noop: next,
            elected_at: now,
            heartbeat_at: now,
            uncommitted_bytes: 0,
            transfer: None,
        };
        self.state = State::Leader(Box::new(leader));
        self.leader = Some(self.voter);
        self.incoming = None;
        log::info!(target: "group", "replica {} leads in term {}", self.voter, self.term());
        self.sync_peers();
        self.append_own(entry::Payload::Noop);
        self.send_heartbeats(now);
        self.replicate_all(now);
    }

    /// Steps down without a quorum, hands over with a stuck disk or without a vote, and sends
    /// heartbeats.
    pub(super) fn tick_leader(&mut self, now: time::Monotonic) {
        let State::Leader(leader) = &self.state else { return };
        let confirmed_at = self.quorum_confirmed_at(leader, now).unwrap_or(leader.elected_at);
        let quiet = now.since(confirmed_at.max(leader.elected_at));
        if quiet >= self.cfg.get_lease() {
            log::warn!(target: "group", "replica {} hears no quorum", self.voter);
            self.become_follower(now, self.term());
            return;
        }
        if now >= leader.heartbeat_at {
            self.send_heartbeats(now);
        }
        if self.is_disk_stuck(now) {
            log::warn!(target: "group", "replica {} waits for its disk too long", self.voter);
            self.leave_lead(now);
        } else if self.is_ready() && !self.is_voter() {
            self.leave_lead(now);
        }
        self.tick_transfer(now);
        self.retry_all(now);
    }

    /// Hands the lead over: a leader acknowledges nothing that it can't sync, and one without a
    /// vote leads only as long as it has to.
    fn leave_lead(&mut self, now: time::Monotonic) {
        if self.is_handing_over() {
            return;
        }
        let successor = self.best_successor();
        let handed_over = successor.map(|to| self.transfer_leadership(now, to));
        if !matches!(handed_over, Some(Ok(()))) {
            self.become_follower(now, self.term());
        }
    }

    /// Answers a heartbeat at once, since the promise that renews the lease needs no disk.
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
        let answer = message::HeartbeatResponse { sent_at_micros: heartbeat.sent_at_micros };
        self.send(from, disk, message::Body::HeartbeatResponse(answer));
    }

    /// Notes a renewed promise.
    pub(super) fn handle_heartbeat_response(
        &mut self,
        now: time::Monotonic,
        from: id::VoterId,
        disk: id::DiskId,
        answer: message::HeartbeatResponse,
    ) {
        let Some(peer) = self.peer_mut(from, disk) else { return };
        peer.confirm(time::Monotonic::from_micros(answer.sent_at_micros), now);
        self.replicate(now, from);
    }

    /// Notes that the leader of the term is alive.
    pub(super) fn follow(&mut self, now: time::Monotonic, leader: id::VoterId) {
        self.become_follower(now, self.term());
        self.leader = Some(leader);
        self.heard_at = Some(now);
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

    /// Latest time at which a quorum is known to have followed.
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
