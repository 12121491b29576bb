use crate::entry::{Entry, HardState, Payload, Vote};
use crate::id;
use crate::membership;
use bytes::Bytes;

/// Encoded form of an [`Entry`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryRecord {
    /// Position in the log.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the leader that appended it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Content; absent for a no-op.
    #[prost(oneof = "PayloadRecord", tags = "3, 4")]
    pub payload: Option<PayloadRecord>,
}

/// Encoded form of a [`Payload`] that is not a no-op.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PayloadRecord {
    /// Command of the replicated state machine.
    #[prost(bytes = "bytes", tag = "3")]
    Data(Bytes),
    /// Membership that applies from this entry on.
    #[prost(message, tag = "4")]
    Membership(MembershipRecord),
}

/// Encoded form of a [`membership::Membership`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct MembershipRecord {
    /// Members in ascending order of id.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberRecord>,
    /// Newest former members, the newest last; earlier builds skip them.
    #[prost(message, repeated, tag = "2")]
    pub former: Vec<FormerRecord>,
}

/// Encoded form of a former member.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct FormerRecord {
    /// Id of the former member.
    #[prost(uint64, tag = "1")]
    pub voter: u64,
    /// Disk of the former member.
    #[prost(fixed64, tag = "2")]
    pub disk: u64,
}

/// Encoded form of a [`membership::Member`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct MemberRecord {
    /// Id of the member.
    #[prost(uint64, tag = "1")]
    pub voter: u64,
    /// Disk of the member.
    #[prost(fixed64, tag = "2")]
    pub disk: u64,
    /// Whether the member is a learner.
    #[prost(bool, tag = "3")]
    pub learner: bool,
}

/// Encoded form of a [`HardState`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HardStateRecord {
    /// Latest term seen.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Candidate that the vote was granted to.
    #[prost(uint64, optional, tag = "2")]
    pub vote_voter: Option<u64>,
    /// Disk of the candidate.
    #[prost(fixed64, tag = "3")]
    pub vote_disk: u64,
}

impl From<&Entry> for EntryRecord {
    fn from(entry: &Entry) -> Self {
        let payload = match &entry.payload {
            Payload::Noop => None,
            Payload::Data(data) => Some(PayloadRecord::Data(data.clone())),
            Payload::Membership(membership) => Some(PayloadRecord::Membership(membership.into())),
        };
        Self { index: entry.index.get(), term: entry.term.get(), payload }
    }
}

impl From<EntryRecord> for Entry {
    fn from(record: EntryRecord) -> Self {
        let payload = match record.payload {
            None => Payload::Noop,
            Some(PayloadRecord::Data(data)) => Payload::Data(data),
            Some(PayloadRecord::Membership(members)) => Payload::Membership((&members).into()),
        };
        Self { index: id::Index::new(record.index), term: id::Term::new(record.term), payload }
    }
}

impl From<&membership::Membership> for MembershipRecord {
    fn from(membership: &membership::Membership) -> Self {
        let members = membership
            .iter()
            .map(|(voter, member)| MemberRecord {
                voter: voter.get(),
                disk: member.disk.get(),
                learner: !member.is_voter(),
            })
            .collect();
        let former = membership
            .former()
            .map(|(voter, disk)| FormerRecord { voter: voter.get(), disk: disk.get() })
            .collect();
        Self { members, former }
    }
}

impl From<&MembershipRecord> for membership::Membership {
    fn from(record: &MembershipRecord) -> Self {
        let former = record
            .former
            .iter()
            .map(|former| (id::VoterId::new(former.voter), id::DiskId::new(former.disk)));
        let members = record.members.iter().map(|member| {
            let kind = if member.learner {
                membership::MemberKind::Learner
            } else {
                membership::MemberKind::Voter
            };
            let disk = id::DiskId::new(member.disk);
            (id::VoterId::new(member.voter), membership::Member { disk, kind })
        });
        members.collect::<Self>().with_former(former)
    }
}

impl From<HardState> for HardStateRecord {
    fn from(state: HardState) -> Self {
        Self {
            term: state.term.get(),
            vote_voter: state.vote.map(|vote| vote.voter.get()),
            vote_disk: state.vote.map_or(0, |vote| vote.disk.get()),
        }
    }
}

impl From<HardStateRecord> for HardState {
    fn from(record: HardStateRecord) -> Self {
        let disk = id::DiskId::new(record.vote_disk);
        let vote = record.vote_voter.map(|voter| Vote { voter: id::VoterId::new(voter), disk });
        Self { term: id::Term::new(record.term), vote }
    }
}
