use std::net::Ipv4Addr;

use comfreymill_group::id;
use comfreymill_group::replica;

use super::learner_state::LearnerState;
use super::member_id;
use super::membership_planner::SILENCE_LIMIT;

/// Voters of a group as its leader sees them, and what the learners lack.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoterReport {
    /// Number of voters that the group should have.
    pub wanted: usize,
    /// Number of voters.
    pub voters: usize,
    /// Number of voters that answer, with the leader.
    pub answering: usize,
    /// Learners.
    pub learners: Vec<LearnerState>,
    /// Addresses of members that do not answer.
    pub silent: Vec<Ipv4Addr>,
    /// Addresses of replicas that wait to be added.
    pub newcomers: Vec<Ipv4Addr>,
}

impl VoterReport {
    /// Creates the report from the status of a leader.
    #[must_use]
    pub fn new(status: &replica::Status, wanted: usize) -> Self {
        let peer = |member: id::VoterId| status.peers.iter().find(|peer| peer.voter == member);
        let answers = |member: &id::VoterId| {
            peer(*member)
                .is_none_or(|peer| peer.silent_for.is_some_and(|silent| silent < SILENCE_LIMIT))
        };
        let members = &status.membership;
        let learners = members.iter().filter(|(_, member)| !member.is_voter());
        let learners = learners.filter_map(|(member, _)| peer(member));
        let silent = members.iter().map(|(member, _)| member).filter(|member| !answers(member));
        let newcomers = status.newcomers.iter().map(|newcomer| newcomer.voter);
        Self {
            wanted,
            voters: members.voters().count(),
            answering: members.voters().filter(answers).count(),
            learners: learners.map(|peer| LearnerState::new(peer, status.last)).collect(),
            silent: silent.map(member_id::address).collect(),
            newcomers: newcomers.map(member_id::address).collect(),
        }
    }

    /// Returns whether fewer voters answer than the group should have.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.answering < self.wanted
    }

    /// Returns what the learners lack, as text.
    #[must_use]
    pub fn learners_text(&self) -> String {
        self.learners.iter().map(LearnerState::to_string).collect::<Vec<_>>().join("; ")
    }
}
