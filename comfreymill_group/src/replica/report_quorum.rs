//! What a replica knows of the voters while no leader is known, for the log and the metrics.

use crate::id;
use crate::replica::Replica;
use crate::replica::election::State;
use comfreymill_types::time;
use std::time::Duration;

/// Time without a leader after which voters that are not heard from count as missing; candidates ask
/// all voters several times meanwhile.
const MISSING_AFTER: Duration = Duration::from_secs(10);

impl Replica {
    /// Updates what is logged of elections and of the voters; changes no decision.
    pub(super) fn observe(&mut self, now: time::Monotonic) {
        self.close_ended_ballot(now);
        self.diagnosis.led_at = match self.state {
            State::Leader(_) => now,
            _ => self.led_at(),
        };
        self.report_missing_quorum(now);
    }

    /// Records that a message of a member arrived.
    pub(super) fn note_heard(&mut self, now: time::Monotonic, from: id::VoterId, disk: id::DiskId) {
        let members = self.log.history().current();
        if !members.contains(from, disk) {
            return;
        }
        self.diagnosis.heard.insert(from, (disk, now));
        if self.diagnosis.heard.len() > members.len() {
            self.diagnosis.heard.retain(|voter, (disk, _)| members.contains(*voter, *disk));
        }
    }

    /// Returns for how long no leader has been heard from; zero on a leader.
    pub fn leaderless_for(&self, now: time::Monotonic) -> Duration {
        match self.state {
            State::Leader(_) => Duration::ZERO,
            _ => now.since(self.led_at()),
        }
    }

    /// Returns for how long the oldest write has not been synced, if there is one.
    pub fn oldest_write_age(&self, now: time::Monotonic) -> Option<Duration> {
        self.oldest_write.map(|(_, since)| now.since(since))
    }

    /// Returns the voters that are this replica itself, or were heard from since the last message of a
    /// leader and within the last ten seconds.
    pub fn heard_voters(&self, now: time::Monotonic) -> Vec<id::VoterId> {
        let is_heard = |voter: &id::VoterId| {
            let heard = self.diagnosis.heard.get(voter);
            *voter == self.voter && self.is_voter()
                || heard.is_some_and(|(disk, heard_at)| {
                    self.membership().is_voter(*voter, *disk)
                        && *heard_at > self.led_at()
                        && now.since(*heard_at) < MISSING_AFTER
                })
        };
        self.membership().voters().filter(is_heard).collect()
    }

    /// Returns how many votes are missing to a quorum: 0 on a replica without data and as long as a
    /// leader was heard from within the last ten seconds.
    pub fn missing_votes(&self, now: time::Monotonic) -> usize {
        if self.log.is_empty() || self.leaderless_for(now) < MISSING_AFTER {
            return 0;
        }
        self.membership().quorum().saturating_sub(self.heard_voters(now).len())
    }

    /// Returns when a leader was last known to live, or the replica started.
    fn led_at(&self) -> time::Monotonic {
        self.diagnosis.led_at.max(self.leader_heard_at.unwrap_or(time::Monotonic::ZERO))
    }

    fn report_missing_quorum(&mut self, now: time::Monotonic) {
        let missing = self.missing_votes(now);
        if missing == 0 {
            return;
        }
        let Some(suppressed) = self.diagnosis.quorum_bound.pass(now) else { return };
        let members = self.membership();
        let heard = self.heard_voters(now);
        let silent: Vec<String> = members
            .voters()
            .filter(|voter| !heard.contains(voter))
            .map(|voter| self.cfg.name_of(voter))
            .collect();
        let unsynced_ms = self.oldest_write_age(now).map_or(0, |age| age.as_millis() as u64);
        let leaderless_ms = self.leaderless_for(now).as_millis() as u64;
        log::warn!(target: "group", missing, voters = members.voters().count(), heard = heard.len(), action = "start those that are silent, or restore a backup", unsynced_ms, leaderless_ms, silent:% = silent.join(" "), suppressed; "too few voters answer to elect a leader");
    }
}
