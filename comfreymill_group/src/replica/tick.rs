use crate::id;
use crate::replica::Replica;
use crate::replica::election::State;
use comfreymill_types::time;

/// Number of maximum election timeouts without a leader after which a replica that is not a voter
/// starts an election.
const LEARNER_ELECTION_TIMEOUTS: u32 = 5;

impl Replica {
    /// Handles the timers that expired by `now`.
    pub fn tick(&mut self, now: time::Monotonic) {
        if self.halted.is_some() {
            return;
        }
        self.track_oldest_write(now);
        self.observe(now);
        if self.log.is_empty() {
            self.tick_newcomer(now);
            return;
        }
        match self.state {
            State::Leader(_) => self.tick_leader(now),
            _ if now < self.election_at || self.is_vote_pending() => {}
            _ if self.is_voter() || self.may_campaign_without_vote(now) => self.start_pre_vote(now),
            _ => self.clear_leader(now),
        }
    }

    /// Returns when [`Replica::tick`] has to be called next.
    pub fn next_tick_at(&self) -> time::Monotonic {
        match &self.state {
            State::Leader(leader) => leader.heartbeat_at,
            _ if self.log.is_empty() => self.next_hello_at,
            _ => self.election_at,
        }
    }

    /// Returns whether this replica, which is not a voter, may start an election because no voter
    /// has become leader for a long time.
    ///
    /// A learner may hold newer entries than every voter that is left, and may count as a voter in
    /// a membership change that it has not received. The voters still decide the election.
    fn may_campaign_without_vote(&self, now: time::Monotonic) -> bool {
        let timeout = self.cfg.get_election_timeout_max() * LEARNER_ELECTION_TIMEOUTS;
        let is_leaderless = self
            .leader_heard_at
            .is_none_or(|leader_heard_at| now.since(leader_heard_at) >= timeout);
        let known = self.membership().get(self.voter);
        is_leaderless && known.is_none_or(|member| member.disk == self.disk)
    }

    /// Returns whether the oldest write has not been synced for two maximum election timeouts, and for
    /// much longer than others took: with slow disks everywhere, another leader is no better.
    pub(super) fn is_write_stuck(&self, now: time::Monotonic) -> bool {
        let timeout = (self.cfg.get_election_timeout_max() * 2).max(self.sync_time * 4);
        self.oldest_write.is_some_and(|(_, since)| now.since(since) >= timeout)
    }

    /// Returns whether a write is not synced. A vote is given, and counted, only once it is, so another
    /// election would only begin the wait anew.
    pub(super) fn is_vote_pending(&self) -> bool {
        self.outbox.is_dirty() || self.outbox.oldest_unsynced().is_some()
    }

    /// Records how long the oldest write took, and waits for an election anew once all are synced.
    pub(super) fn note_sync(&mut self, now: time::Monotonic, sequence: id::Sequence) {
        if let Some((oldest, since)) = self.oldest_write
            && oldest <= sequence
        {
            self.sync_time = now.since(since).max(self.sync_time / 2);
        }
        if self.leader.is_none() && !self.is_vote_pending() {
            self.reset_election_timer(now);
            self.election_at = self.election_at + self.sync_time * 2;
        }
    }

    fn track_oldest_write(&mut self, now: time::Monotonic) {
        let oldest = self.outbox.oldest_unsynced();
        if oldest != self.oldest_write.map(|(sequence, _)| sequence) {
            self.oldest_write = oldest.map(|sequence| (sequence, now));
        }
    }

    fn clear_leader(&mut self, now: time::Monotonic) {
        self.leader = None;
        self.reset_election_timer(now);
    }
}
