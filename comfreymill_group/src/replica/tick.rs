use crate::replica::Replica;
use crate::replica::election::State;
use comfreymill_types::time;

impl Replica {
    /// Does what is due by `now`.
    pub fn tick(&mut self, now: time::Monotonic) {
        if self.halted.is_some() {
            return;
        }
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

    fn forget_leader(&mut self, now: time::Monotonic) {
        self.leader = None;
        self.reset_election_timer(now);
    }
}
