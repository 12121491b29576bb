use crate::id;
use crate::replica::Refusal;
use std::collections::BTreeMap;
use std::fmt;

/// Whether pre-votes or votes are collected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    PreVote,
    Vote,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::PreVote => "pre-vote",
            Self::Vote => "vote",
        })
    }
}

/// Answers to the pre-votes or votes that this replica asked for, for the log.
#[derive(Clone, Debug)]
pub(super) struct Ballot {
    pub(super) stage: Stage,
    pub(super) term: id::Term,
    pub(super) quorum: usize,
    /// Whether the replica counts a vote of its own.
    pub(super) is_voter: bool,
    /// Voters that were asked, with their answers.
    answers: BTreeMap<id::VoterId, Option<Result<(), Refusal>>>,
}

impl Ballot {
    /// Creates a ballot without answers of the voters `asked`.
    pub(super) fn new<I>(
        stage: Stage,
        term: id::Term,
        quorum: usize,
        is_voter: bool,
        asked: I,
    ) -> Self
    where
        I: IntoIterator<Item = id::VoterId>,
    {
        let answers = asked.into_iter().map(|voter| (voter, None)).collect();
        Self { stage, term, quorum, is_voter, answers }
    }

    /// Records the answer of a voter that was asked. A granted vote is not taken back.
    pub(super) fn answered(&mut self, from: id::VoterId, answer: Result<(), Refusal>) {
        if let Some(known) = self.answers.get_mut(&from)
            && *known != Some(Ok(()))
        {
            *known = Some(answer);
        }
    }

    /// Iterates over the voters that granted their votes.
    pub(super) fn granted(&self) -> impl Iterator<Item = id::VoterId> + '_ {
        self.answers.iter().filter(|(_, answer)| **answer == Some(Ok(()))).map(|(voter, _)| *voter)
    }

    /// Iterates over the voters that refused their votes, with the reasons.
    pub(super) fn refused(&self) -> impl Iterator<Item = (id::VoterId, Refusal)> + '_ {
        self.answers.iter().filter_map(|(voter, answer)| match answer {
            Some(Err(reason)) => Some((*voter, *reason)),
            _ => None,
        })
    }

    /// Returns the reasons of refusals, each with the number of voters that gave it.
    pub(super) fn reasons(&self) -> String {
        let mut counts = BTreeMap::new();
        for (_, reason) in self.refused() {
            *counts.entry(reason).or_insert(0) += 1;
        }
        let counts: Vec<String> =
            counts.into_iter().map(|(reason, count)| format!("{count} {reason}")).collect();
        counts.join(", ")
    }

    /// Iterates over the voters that did not answer.
    pub(super) fn silent(&self) -> impl Iterator<Item = id::VoterId> + '_ {
        self.answers.iter().filter(|(_, answer)| answer.is_none()).map(|(voter, _)| *voter)
    }

    /// Returns whether the granted votes, with the own one, are a majority.
    pub(super) fn has_quorum(&self) -> bool {
        self.granted().count() + usize::from(self.is_voter) >= self.quorum
    }
}
