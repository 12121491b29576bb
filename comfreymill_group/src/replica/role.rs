use std::fmt;

/// Role of a replica in its term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Has an empty log and waits to be added to the group.
    Newcomer,
    /// Receives the log but is not a voter.
    Learner,
    /// Votes and receives the log.
    Follower,
    /// Collects pre-votes or votes.
    Candidate,
    /// Replicates its log to the other members.
    Leader,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Newcomer => "newcomer",
            Self::Learner => "learner",
            Self::Follower => "follower",
            Self::Candidate => "candidate",
            Self::Leader => "leader",
        })
    }
}
