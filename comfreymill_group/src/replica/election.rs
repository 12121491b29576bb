use crate::entry;
use crate::id;
use crate::message;
use crate::replica::ballot::Stage;
use crate::replica::lease::Leader;
use crate::replica::{Refusal, Replica};
use comfreymill_types::time;
use std::collections::BTreeSet;
use std::mem;

/// Role of the replica with the data of that role.
#[derive(Debug)]
pub(super) enum State {
    /// Follower, learner or newcomer.
    Follower,
    /// Collects pre-votes for the next term, and late votes of the current one, if it stands in it.
    PreCandidate { votes: BTreeSet<id::VoterId>, candidacy: Option<Candidacy> },
    /// Collects votes.
    Candidate {
        candidacy: Candidacy,
        /// Whether a voter has refused its vote, so that another candidate may have it.
        is_contested: bool,
    },
    /// Leader of the current term.
    Leader(Box<Leader>),
}

/// Votes for this replica in the current term.
#[derive(Debug)]
pub(super) struct Candidacy {
    votes: BTreeSet<id::VoterId>,
    /// Write of its own vote, which counts, if it is a voter, once this is synced.
    write: id::Sequence,
}

impl Candidacy {
    /// Returns whether `voter` has given its vote.
    pub(super) fn has_vote(&self, voter: id::VoterId) -> bool {
        self.votes.contains(&voter)
    }
}

impl State {
    /// Ends the role, and returns the votes of the current term if the replica stands in it.
    pub(super) fn take_candidacy(&mut self) -> Option<Candidacy> {
        match mem::replace(self, Self::Follower) {
            Self::Candidate { candidacy, .. } => Some(candidacy),
            Self::PreCandidate { candidacy, .. } => candidacy,
            Self::Follower | Self::Leader(_) => None,
        }
    }
}

impl Replica {
    /// Becomes a follower in `term`, which is at least the current term.
    pub(super) fn become_follower(&mut self, now: time::Monotonic, term: id::Term) {
        if term > self.hard_state.term {
            self.hard_state = entry::HardState { term, vote: None };
            self.outbox.hard_state_changed = true;
            self.leader = None;
        }
        if matches!(self.state, State::Leader(_)) {
            self.leader = None;
            log::info!(target: "group", "replica {} lost leadership in term {term}", self.voter);
        }
        if !matches!(self.state, State::Follower) {
            self.state = State::Follower;
            self.reset_election_timer(now);
        }
    }

    /// Starts a pre-vote: asks the voters whether they would grant their votes.
    ///
    /// A candidate goes on counting the votes of its term: one whose sync takes longer than the election
    /// time-out would otherwise always come too late.
    pub(super) fn start_pre_vote(&mut self, now: time::Monotonic) {
        self.leader = None;
        self.asked_at.get_or_insert(now);
        let own = self.is_voter().then_some(self.voter);
        let candidacy = self.state.take_candidacy();
        self.state = State::PreCandidate { votes: own.into_iter().collect(), candidacy };
        self.reset_election_timer(now);
        self.open_ballot(now, Stage::PreVote);
        let request = message::PreVote {
            last_index: self.log.last_index().get(),
            last_term: self.log.last_term().get(),
        };
        for (to, disk) in self.other_voters() {
            self.send(to, disk, message::Body::PreVote(request));
        }
        self.try_win(now);
    }

    /// Starts an election in a new term. `transfer` is set if the leader released its lease for it.
    pub(super) fn start_election(&mut self, now: time::Monotonic, transfer: bool) {
        let vote = entry::Vote { voter: self.voter, disk: self.disk };
        let term = self.hard_state.term.next();
        self.hard_state = entry::HardState { term, vote: Some(vote) };
        self.outbox.hard_state_changed = true;
        self.leader = None;
        let write = self.outbox.covering_write();
        let candidacy = Candidacy { votes: BTreeSet::new(), write };
        self.state = State::Candidate { candidacy, is_contested: false };
        self.reset_election_timer(now);
        self.open_ballot(now, Stage::Vote);
        let request = message::Vote {
            last_index: self.log.last_index().get(),
            last_term: self.log.last_term().get(),
            transfer,
        };
        for (to, disk) in self.other_voters() {
            self.send_synced(to, disk, message::Body::Vote(request));
        }
        log::info!(target: "group", "replica {} starts an election in term {term}", self.voter);
    }

    /// Starts the election or becomes leader once a quorum has granted its votes.
    pub(super) fn try_win(&mut self, now: time::Monotonic) {
        let quorum = self.membership().quorum();
        let is_voter = self.is_voter();
        let (pre_votes, candidacy) = match &mut self.state {
            State::PreCandidate { votes, candidacy } => (votes.len(), candidacy.as_mut()),
            State::Candidate { candidacy, .. } => (0, Some(candidacy)),
            State::Follower | State::Leader(_) => return,
        };
        if let Some(candidacy) = candidacy
            && self.outbox.is_persisted(candidacy.write)
        {
            if is_voter {
                candidacy.votes.insert(self.voter);
            }
            if candidacy.votes.len() >= quorum {
                self.become_leader(now);
                return;
            }
        }
        if pre_votes >= quorum {
            self.start_election(now, false);
        }
    }

    /// Answers whether this replica would vote for `from`, or tells `from` that it was removed.
    pub(super) fn handle_pre_vote(
        &mut self,
        now: time::Monotonic,
        from: id::VoterId,
        envelope: &message::Message,
        request: message::PreVote,
    ) {
        if self.has_removed(now, from, id::DiskId::new(envelope.disk)) {
            self.note_refusal(now, from, envelope, Refusal::RemovedCandidate);
            self.refuse(from, id::DiskId::new(envelope.disk));
            return;
        }
        let asked_term = id::Term::new(envelope.term).next();
        let granted = asked_term > self.hard_state.term
            && !self.has_recent_leader(now)
            && !self.is_electing(now)
            && self.is_up_to_date(request.last_index, request.last_term);
        let refusal = (!granted).then(|| self.explain_pre_vote(now, asked_term, request));
        if let Some(refusal) = refusal {
            self.note_refusal(now, from, envelope, refusal);
        }
        let response = message::PreVoteResponse {
            asked_term: asked_term.get(),
            granted,
            reason: refusal.map_or(0, Refusal::code),
        };
        let body = message::Body::PreVoteResponse(response);
        self.send(from, id::DiskId::new(envelope.disk), body);
    }

    /// Counts a response to a pre-vote.
    pub(super) fn handle_pre_vote_response(
        &mut self,
        now: time::Monotonic,
        from: id::VoterId,
        envelope: &message::Message,
        response: message::PreVoteResponse,
    ) {
        let disk = id::DiskId::new(envelope.disk);
        let answer = Refusal::from_answer(response.granted, response.reason);
        self.note_answer(from, disk, (Stage::PreVote, response.asked_term), answer);
        let term = id::Term::new(envelope.term);
        if term > self.hard_state.term {
            self.become_follower(now, term);
            return;
        }
        let is_current = response.asked_term == self.hard_state.term.next().get();
        if !response.granted || !is_current || !self.membership().is_voter(from, disk) {
            return;
        }
        if let State::PreCandidate { votes, .. } = &mut self.state {
            votes.insert(from);
            self.try_win(now);
        }
    }

    /// Grants or denies the vote to `from`, whose term is the current one.
    pub(super) fn handle_vote(
        &mut self,
        now: time::Monotonic,
        from: id::VoterId,
        disk: id::DiskId,
        request: message::Vote,
    ) {
        let candidate = entry::Vote { voter: from, disk };
        let can_grant = self.hard_state.vote.is_none_or(|vote| vote == candidate);
        let granted = can_grant && self.is_up_to_date(request.last_index, request.last_term);
        if granted {
            self.outbox.hard_state_changed |= self.hard_state.vote.is_none();
            self.hard_state.vote = Some(candidate);
            self.state = State::Follower;
            self.reset_election_timer(now);
        }
        let refusal = if can_grant { Refusal::OlderLog } else { Refusal::VotedForAnother };
        let reason = if granted { 0 } else { refusal.code() };
        if !granted {
            let last = (request.last_term, request.last_index);
            self.log_refusal(now, from, refusal, Stage::Vote, self.term().get(), last);
        }
        let body = message::Body::VoteResponse(message::VoteResponse { granted, reason });
        self.send_synced(from, disk, body);
    }

    /// Counts a granted vote, or notes a refused one.
    pub(super) fn handle_vote_response(
        &mut self,
        now: time::Monotonic,
        from: id::VoterId,
        disk: id::DiskId,
        response: message::VoteResponse,
    ) {
        let is_voter = self.membership().is_voter(from, disk);
        let answer = Refusal::from_answer(response.granted, response.reason);
        self.note_answer(from, disk, (Stage::Vote, self.term().get()), answer);
        if !is_voter {
            return;
        }
        match &mut self.state {
            State::Candidate { candidacy, .. }
            | State::PreCandidate { candidacy: Some(candidacy), .. }
                if response.granted =>
            {
                candidacy.votes.insert(from);
                self.try_win(now);
            }
            State::Candidate { is_contested, .. } if !response.granted && !*is_contested => {
                // The votes may be split, so the next election does not wait for slow disks.
                *is_contested = true;
                self.reset_election_timer(now);
            }
            _ => {}
        }
    }

    /// Returns whether the lease of a leader may still be valid, so that votes are denied.
    pub(super) fn has_recent_leader(&self, now: time::Monotonic) -> bool {
        let timeout = self.cfg.get_election_timeout_min();
        let is_recent = self
            .leader_heard_at
            .is_some_and(|leader_heard_at| now.since(leader_heard_at) < timeout);
        is_recent || matches!(self.state, State::Leader(_))
    }

    /// Returns whether an election is in progress here that may still succeed.
    fn is_electing(&self, now: time::Monotonic) -> bool {
        let is_candidate = matches!(self.state, State::Candidate { is_contested: false, .. });
        self.is_vote_pending() || (is_candidate && now < self.election_at)
    }

    pub(super) fn is_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        let own = (self.log.last_term().get(), self.log.last_index().get());
        (last_term, last_index) >= own
    }

    fn other_voters(&self) -> Vec<(id::VoterId, id::DiskId)> {
        self.membership()
            .iter()
            .filter(|(voter, member)| member.is_voter() && *voter != self.voter)
            .map(|(voter, member)| (voter, member.disk))
            .collect()
    }
}
