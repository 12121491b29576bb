use crate::id;
use crate::membership::{Member, MemberKind};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of former members that are remembered.
const MAX_FORMER: usize = 8;

/// Members of a group by voter id, and the newest former members.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Membership {
    members: BTreeMap<id::VoterId, Member>,
    /// Removed replicas with their disks, the newest last.
    former: VecDeque<(id::VoterId, id::DiskId)>,
}

impl Membership {
    /// Iterates over the members in ascending order of id.
    pub fn iter(&self) -> impl Iterator<Item = (id::VoterId, Member)> + '_ {
        self.members.iter().map(|(voter, member)| (*voter, *member))
    }

    /// Iterates over the newest former members with their disks, the newest last.
    pub fn former(&self) -> impl Iterator<Item = (id::VoterId, id::DiskId)> + '_ {
        self.former.iter().copied()
    }

    /// Iterates over the ids of the voters in ascending order.
    pub fn voters(&self) -> impl Iterator<Item = id::VoterId> + '_ {
        self.iter().filter(|(_, member)| member.is_voter()).map(|(voter, _)| voter)
    }

    /// Returns the member with the id `voter`.
    pub fn get(&self, voter: id::VoterId) -> Option<Member> {
        self.members.get(&voter).copied()
    }

    /// Returns whether `voter` with `disk` is a member, as a voter or a learner.
    pub fn contains(&self, voter: id::VoterId, disk: id::DiskId) -> bool {
        self.get(voter).is_some_and(|member| member.disk == disk)
    }

    /// Returns whether `voter` with `disk` is a voter.
    pub fn is_voter(&self, voter: id::VoterId, disk: id::DiskId) -> bool {
        self.get(voter).is_some_and(|member| member.disk == disk && member.is_voter())
    }

    /// Returns the number of members, learners included.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether one more voter would raise the quorum, so that it has to have the entries: an
    /// even number of voters has the quorum of the next odd one.
    pub fn quorum_grows_by_voter(&self) -> bool {
        !self.voters().count().is_multiple_of(2)
    }

    /// Returns a copy that adds `voter` as a learner.
    #[must_use]
    pub fn with_learner(&self, voter: id::VoterId, disk: id::DiskId) -> Self {
        self.with(voter, disk, MemberKind::Learner)
    }

    /// Returns a copy that adds `voter` as a voter.
    #[must_use]
    pub fn with_voter(&self, voter: id::VoterId, disk: id::DiskId) -> Self {
        self.with(voter, disk, MemberKind::Voter)
    }

    /// Returns a copy in which the member `voter` is a voter.
    #[must_use]
    pub fn with_promoted(&self, voter: id::VoterId) -> Self {
        let mut next = self.clone();
        if let Some(member) = next.members.get_mut(&voter) {
            member.kind = MemberKind::Voter;
        }
        next
    }

    /// Returns a copy without `voter`.
    #[must_use]
    pub fn without(&self, voter: id::VoterId) -> Self {
        let mut next = self.clone();
        if let Some(member) = next.members.remove(&voter) {
            next.former.push_back((voter, member.disk));
        }
        next.with_newest_former()
    }

    /// Returns a copy that remembers `former` as former members, the newest last.
    #[must_use]
    pub fn with_former<F>(mut self, former: F) -> Self
    where
        F: IntoIterator<Item = (id::VoterId, id::DiskId)>,
    {
        self.former = former.into_iter().collect();
        self.with_newest_former()
    }

    fn with(&self, voter: id::VoterId, disk: id::DiskId, kind: MemberKind) -> Self {
        let mut next = self.clone();
        next.members.insert(voter, Member { disk, kind });
        next.former.retain(|former| *former != (voter, disk));
        next
    }

    fn with_newest_former(mut self) -> Self {
        let surplus = self.former.len().saturating_sub(MAX_FORMER);
        self.former.drain(..surplus);
        self
    }
}

impl FromIterator<(id::VoterId, Member)> for Membership {
    fn from_iter<I>(members: I) -> Self
    where
        I: IntoIterator<Item = (id::VoterId, Member)>,
    {
        Self { members: members.into_iter().collect(), former: VecDeque::new() }
    }
}
