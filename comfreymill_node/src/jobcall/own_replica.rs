use std::fmt;
use std::time::Duration;

/// Kind of a replica in its own view of the membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnKind {
    /// Votes.
    Voter,
    /// Receives the log and has no vote.
    Learner,
    /// Is no member.
    Stranger,
}

impl fmt::Display for OwnKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Voter => "voter",
            Self::Learner => "learner",
            Self::Stranger => "no member",
        })
    }
}

/// State of the replica of a process that looks for a leader, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnReplica {
    /// Role of the replica.
    pub role: String,
    /// Term of the replica.
    pub term: u64,
    /// Kind of the replica by its own membership.
    pub kind: OwnKind,
    /// Number of voters by its own membership.
    pub voters: usize,
    /// Number of these voters that it has heard from since the last message of a leader, with itself.
    pub heard: usize,
    /// Age of the oldest write that is not synced; zero if all are.
    pub unsynced_for: Duration,
    /// Name of the replica as a member.
    pub member: String,
}
