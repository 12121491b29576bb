use crate::id;
use crate::membership::{Member, Stage};
use std::collections::BTreeMap;

/// Members of a group by id.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Membership {
    members: BTreeMap<id::VoterId, Member>,
}

impl Membership {
    /// Members in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (id::VoterId, Member)> + '_ {
        self.members.iter().map(|(voter, member)| (*voter, *member))
    }

    /// Ids of the members that vote.
    pub fn voters(&self) -> impl Iterator<Item = id::VoterId> + '_ {
        self.iter().filter(|(_, member)| member.is_voter()).map(|(voter, _)| voter)
    }

    /// Member named `voter`.
    pub fn get(&self, voter: id::VoterId) -> Option<Member> {
        self.members.get(&voter).copied()
    }

    /// Whether `voter` with `disk` is a member, voting or not.
    pub fn contains(&self, voter: id::VoterId, disk: id::DiskId) -> bool {
        self.get(voter).is_some_and(|member| member.disk == disk)
    }

    /// Whether `voter` with `disk` votes.
    pub fn is_voter(&self, voter: id::VoterId, disk: id::DiskId) -> bool {
        self.get(voter).is_some_and(|member| member.disk == disk && member.is_voter())
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Voters that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Same members and `voter` as a learner.
    #[must_use]
    pub fn with_learner(&self, voter: id::VoterId, disk: id::DiskId) -> Self {
        let mut next = self.clone();
        next.members.insert(voter, Member { disk, stage: Stage::Learner });
        next
    }

    /// Same members, `voter` as a voter.
    #[must_use]
    pub fn with_promoted(&self, voter: id::VoterId) -> Self {
        let mut next = self.clone();
        if let Some(member) = next.members.get_mut(&voter) {
            member.stage = Stage::Voter;
        }
        next
    }

    /// Same members but `voter`.
    #[must_use]
    pub fn without(&self, voter: id::VoterId) -> Self {
        let mut next = self.clone();
        next.members.remove(&voter);
        next
    }
}

impl FromIterator<(id::VoterId, Member)> for Membership {
    fn from_iter<I>(members: I) -> Self
    where
        I: IntoIterator<Item = (id::VoterId, Member)>,
    {
        Self { members: members.into_iter().collect() }
    }
}
