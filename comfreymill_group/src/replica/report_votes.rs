//! Log lines on elections: the answers to the votes that a replica asks for, and those it refuses.

use crate::id;
use crate::message::{self, Body};
use crate::replica::ballot::{Ballot, Stage};
use crate::replica::election::State;
use crate::replica::{Refusal, Replica};
use comfreymill_types::time;

impl Replica {
    /// Begins to record the answers to pre-votes or votes, after the state has changed.
    pub(super) fn open_ballot(&mut self, now: time::Monotonic, stage: Stage) {
        self.close_ballot(now);
        let term = match stage {
            Stage::PreVote => self.term().next(),
            Stage::Vote => self.term(),
        };
        let own = self.voter;
        let members = self.membership();
        let asked = members.voters().filter(|voter| *voter != own);
        let ballot = Ballot::new(stage, term, members.quorum(), self.is_voter(), asked);
        self.diagnosis.ballot = Some(ballot);
    }

    /// Records the answer of `from` to the request of a stage and term, if votes are collected for it.
    pub(super) fn note_answer(
        &mut self,
        from: id::VoterId,
        disk: id::DiskId,
        asked: (Stage, u64),
        answer: Result<(), Refusal>,
    ) {
        let is_voter = self.membership().is_voter(from, disk);
        let Some(ballot) = &mut self.diagnosis.ballot else { return };
        if is_voter && (ballot.stage, ballot.term.get()) == asked {
            ballot.answered(from, answer);
        }
    }

    /// Logs the election that this replica is no longer a candidate of.
    pub(super) fn close_ended_ballot(&mut self, now: time::Monotonic) {
        let is_candidate =
            matches!(self.state, State::PreCandidate { .. } | State::Candidate { .. });
        if !is_candidate {
            self.close_ballot(now);
        }
    }

    fn close_ballot(&mut self, now: time::Monotonic) {
        let Some(ballot) = self.diagnosis.ballot.take() else { return };
        // The election follows, and is reported itself.
        if ballot.stage == Stage::PreVote && ballot.has_quorum() {
            return;
        }
        let Some(suppressed) = self.diagnosis.ballot_bound.pass(now) else { return };
        let is_leader = matches!(self.state, State::Leader(_)) && ballot.term == self.term();
        let outcome = match (is_leader, ballot.has_quorum()) {
            (true, _) => "won",
            (false, true) => "superseded",
            (false, false) => "no majority",
        };
        let name = |voter: id::VoterId| self.cfg.name_of(voter);
        let granted: Vec<String> = ballot.granted().map(name).collect();
        let silent: Vec<String> = ballot.silent().map(name).collect();
        let refused: Vec<String> =
            ballot.refused().map(|(voter, reason)| format!("{reason}: {}", name(voter))).collect();
        log::info!(target: "group", term = ballot.term.get(), outcome, granted = granted.len(), silent = silent.len(), refused:% = ballot.reasons(), stage:% = ballot.stage, quorum = ballot.quorum, own_vote = ballot.is_voter, suppressed, refused_by:% = refused.join(", "), silent_voters:% = silent.join(" "), granted_by:% = granted.join(" "); "an election has ended");
    }

    /// Returns why a pre-vote that is not granted is refused.
    pub(super) fn explain_pre_vote(
        &self,
        now: time::Monotonic,
        asked_term: id::Term,
        request: message::PreVote,
    ) -> Refusal {
        if asked_term <= self.term() {
            Refusal::OlderTerm
        } else if self.has_recent_leader(now) {
            Refusal::RecentLeader
        } else if self.is_vote_pending() {
            Refusal::WriteNotSynced
        } else if !self.is_up_to_date(request.last_index, request.last_term) {
            Refusal::OlderLog
        } else if matches!(self.state, State::Candidate { .. }) {
            Refusal::ElectionInProgress
        } else {
            Refusal::Unknown
        }
    }

    /// Logs a pre-vote or vote that this replica refuses; other messages are passed over.
    pub(super) fn note_refusal(
        &mut self,
        now: time::Monotonic,
        from: id::VoterId,
        message: &message::Message,
        reason: Refusal,
    ) {
        let (stage, term, last) = match &message.body {
            Some(Body::PreVote(vote)) => {
                (Stage::PreVote, message.term.saturating_add(1), (vote.last_term, vote.last_index))
            }
            Some(Body::Vote(vote)) => {
                (Stage::Vote, message.term, (vote.last_term, vote.last_index))
            }
            _ => return,
        };
        self.log_refusal(now, from, reason, stage, term, last);
    }

    /// Logs that `from` was refused its vote for `term`; `last` is the last entry of its log.
    pub(super) fn log_refusal(
        &mut self,
        now: time::Monotonic,
        from: id::VoterId,
        reason: Refusal,
        stage: Stage,
        term: u64,
        last: (u64, u64),
    ) {
        let bound = self.diagnosis.refusals.entry(reason).or_default();
        let Some(suppressed) = bound.pass(now) else { return };
        let unsynced_ms = self.oldest_write_age(now).map_or(0, |age| age.as_millis() as u64);
        let leader_silent_ms = self.leaderless_for(now).as_millis() as u64;
        let own_last = format!("{}.{}", self.log.last_term(), self.log.last_index());
        let last = format!("{}.{}", last.0, last.1);
        log::info!(target: "group", reason:% = reason, term, unsynced_ms, own_last = own_last.as_str(), candidate_last = last.as_str(), stage:% = stage, own_term = self.term().get(), leader_silent_ms, suppressed, candidate:% = self.cfg.name_of(from); "a vote is refused");
    }
}
