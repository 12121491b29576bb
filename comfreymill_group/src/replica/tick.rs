use crate::replica::Replica;
use crate::replica::election::State;
use comfreymill_types::time;

impl Replica {
    /// Does what is due by `now`.
    pub fn tick(&mut self, now: time::Monotonic) {
        if self.halted.is_some() {
            return;
        }
        self.watch_disk(now);
        if self.log.is_empty() {
            self.tick_newcomer(now);
            return;
        }
        match self.state {
            State::Leader(_) => self.tick_leader(now),
            _ if now < self.election_at => {}
            _ if self.is_voter() => self.start_pre_vote(now),
            _ => self.forget_leader(now),
        }
    }

    /// When [`Replica::tick`] has to be called next.
    pub fn next_tick_at(&self) -> time::Monotonic {
        match &self.state {
            State::Leader(leader) => leader.heartbeat_at,
            _ if self.log.is_empty() => self.hello_at,
            _ => self.election_at,
        }
    }

    /// Whether a write has waited for its sync for too long.
    pub(super) fn is_disk_stuck(&self, now: time::Monotonic) -> bool {
        let patience = self.cfg.get_election_timeout_max() * 2;
        self.slow_write.is_some_and(|(_, since)| now.since(since) >= patience)
    }

    fn watch_disk(&mut self, now: time::Monotonic) {
        let oldest = self.outbox.oldest_unsynced();
        if oldest != self.slow_write.map(|(sequence, _)| sequence) {
            self.slow_write = oldest.map(|sequence| (sequence, now));
        }
    }

    fn forget_leader(&mut self, now: time::Monotonic) {
        self.leader = None;
        self.reset_election_timer(now);
    }
}
