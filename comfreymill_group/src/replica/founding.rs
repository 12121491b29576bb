use crate::entry;
use crate::id;
use crate::membership;
use crate::message;
use crate::replica::election::State;
use crate::replica::newcomer::Newcomer;
use crate::replica::{Halt, Replica, Start};
use comfreymill_types::time;
use std::time::Duration;

const FOUNDING_TERM: id::Term = id::Term::new(1);

/// Interval at which a leader tells former members that they were removed.
const REFUSAL_PERIOD: Duration = Duration::from_secs(2);

const MAX_NEWCOMERS: usize = 64;

impl Replica {
    /// Announces this replica, whose log is empty, to the replicas named by the settings.
    pub(super) fn tick_newcomer(&mut self, now: time::Monotonic) {
        if now < self.next_hello_at {
            return;
        }
        self.hello_sent_at = now;
        self.next_hello_at = now + self.cfg.get_election_timeout_min();
        let founding = self.cfg.get_start().founder() == Some(self.voter);
        if founding {
            self.vote_for_founder(entry::Vote { voter: self.voter, disk: self.disk });
        }
        let peers = self.cfg.get_start().peers().to_vec();
        let own = self.voter;
        for to in peers.into_iter().filter(|peer| *peer != own) {
            let hello = message::Hello { founding, sent_at_micros: now.as_micros() };
            self.send_synced(to, id::DiskId::ZERO, message::Body::Hello(hello));
        }
        self.try_found_group();
    }

    /// Responds to a replica whose log is empty, and records it as a newcomer if it is no member.
    pub(super) fn handle_hello(
        &mut self,
        now: time::Monotonic,
        from: id::VoterId,
        disk: id::DiskId,
        hello: message::Hello,
    ) {
        let known = self.membership().get(from);
        let is_current = self.is_ready() && self.lease_valid(now);
        let is_other_disk = is_current && known.is_some_and(|member| member.disk != disk);
        let mut response = message::HelloResponse {
            founder_accepted: false,
            refused: is_other_disk,
            sent_at_micros: hello.sent_at_micros,
            membership_index: 0,
        };
        if hello.founding && self.log.is_empty() {
            let founder = entry::Vote { voter: from, disk };
            response.founder_accepted = self.accept_founder(founder);
            response.refused =
                self.hard_state.vote.is_some_and(|vote| is_for_other_disk(vote, founder));
        }
        self.newcomers.retain(|_, newcomer| newcomer.is_recent(now));
        if known.is_none() && self.newcomers.len() < MAX_NEWCOMERS {
            self.newcomers.insert(from, Newcomer { disk, announced_at: now });
        }
        self.send_synced(from, disk, message::Body::HelloResponse(response));
    }

    /// Records that a first voter accepts this founder, or halts if the group refuses this replica.
    pub(super) fn handle_hello_response(
        &mut self,
        from: id::VoterId,
        disk: id::DiskId,
        term: id::Term,
        response: message::HelloResponse,
    ) {
        let voter = self.voter;
        let is_new = self.log.is_empty();
        let awaited = if is_new { self.hello_sent_at.as_micros() } else { 0 };
        if response.sent_at_micros != awaited {
            return;
        }
        let index = id::Index::new(response.membership_index);
        if response.refused && self.was_added_after(term, index) {
            return;
        }
        if response.refused {
            self.halt(if is_new { Halt::DiskReplaced { voter } } else { Halt::Removed { voter } });
            return;
        }
        if response.founder_accepted && is_new {
            self.accepted.insert(from, disk);
            self.try_found_group();
        }
    }

    /// Returns whether this replica is a serving leader whose committed membership doesn't contain
    /// `from` with `disk`.
    pub(super) fn has_removed(
        &self,
        now: time::Monotonic,
        from: id::VoterId,
        disk: id::DiskId,
    ) -> bool {
        let is_committed = self.log.history().current_index() <= self.commit;
        let is_current = self.is_ready() && self.lease_valid(now) && is_committed;
        is_current && !self.membership().contains(from, disk)
    }

    /// Tells former members that they don't belong to the group. They may not know whom to ask, and
    /// a replica that has lost its disk at one of their addresses learns of the group by it.
    pub(super) fn refuse_former(&mut self, now: time::Monotonic) {
        let State::Leader(leader) = &mut self.state else { return };
        if now < leader.refuse_at {
            return;
        }
        leader.refuse_at = now + REFUSAL_PERIOD;
        let former: Vec<_> = self.membership().former().collect();
        for (voter, disk) in former {
            if self.has_removed(now, voter, disk) {
                self.refuse(voter, disk);
            }
        }
    }

    /// Tells a replica that it doesn't belong to the group.
    pub(super) fn refuse(&mut self, from: id::VoterId, disk: id::DiskId) {
        let response = message::HelloResponse {
            founder_accepted: false,
            refused: true,
            sent_at_micros: 0,
            membership_index: self.log.history().current_index().get(),
        };
        self.send_synced(from, disk, message::Body::HelloResponse(response));
    }

    /// Returns whether a later membership than that of the entry at `index` contains this replica;
    /// a refusal by the earlier one is late. Earlier builds send no index, which is 0.
    ///
    /// A leader of a later term than the entry that contains the replica has that entry, unless it was
    /// overwritten.
    fn was_added_after(&self, term: id::Term, index: id::Index) -> bool {
        let history = self.log.history();
        let added_at = history.current_index();
        let is_overwritten = self.log.term_at(added_at).is_some_and(|added_in| term > added_in);
        let is_later = index > id::Index::ZERO && added_at > index && !is_overwritten;
        is_later && history.current().contains(self.voter, self.disk)
    }

    /// Starts the first election once the founding entry is synced.
    pub(super) fn finish_founding(&mut self, now: time::Monotonic) {
        let is_synced = self.founding_write.is_some_and(|write| self.outbox.is_persisted(write));
        if is_synced {
            self.founding_write = None;
            self.start_election(now, false);
        }
    }

    /// Appends the first entry, which lists the first voters, once all of them accepted.
    fn try_found_group(&mut self) {
        let Start::Found { voters } = self.cfg.get_start() else { return };
        if self.cfg.get_start().founder() != Some(self.voter) || !self.log.is_empty() {
            return;
        }
        let mut members = Vec::new();
        for voter in voters {
            let own = (*voter == self.voter).then_some(&self.disk);
            let Some(disk) = own.or_else(|| self.accepted.get(voter)) else { return };
            let member = membership::Member { disk: *disk, kind: membership::MemberKind::Voter };
            members.push((*voter, member));
        }
        let first = entry::Entry {
            index: id::Index::new(1),
            term: FOUNDING_TERM,
            payload: entry::Payload::Membership(members.into_iter().collect()),
        };
        self.outbox.note_entries(first.index);
        self.log.push(first);
        self.founding_write = Some(self.outbox.covering_write());
    }

    /// Votes for `founder`, and returns whether the vote is held by it and not by an earlier one.
    fn accept_founder(&mut self, founder: entry::Vote) -> bool {
        if self.cfg.get_start().founder() != Some(founder.voter) {
            return false;
        }
        self.vote_for_founder(founder);
        self.hard_state.vote == Some(founder)
    }

    fn vote_for_founder(&mut self, founder: entry::Vote) {
        if self.hard_state == entry::HardState::default() {
            self.hard_state = entry::HardState { term: FOUNDING_TERM, vote: Some(founder) };
            // There is no leader before the founding.
            self.leader_heard_at = None;
            self.outbox.hard_state_changed = true;
        }
    }
}

/// Returns whether `vote` was granted to the founder's id with another disk.
fn is_for_other_disk(vote: entry::Vote, founder: entry::Vote) -> bool {
    vote.voter == founder.voter && vote.disk != founder.disk
}
