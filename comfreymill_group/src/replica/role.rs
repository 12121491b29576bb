use std::fmt;

/// Part that a replica plays in its term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Has an empty log and waits to be let into the group.
    Newcomer,
    /// Receives the log without a vote.
    Learner,
    /// Votes and receives the log.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads.
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
