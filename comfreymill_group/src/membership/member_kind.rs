/// Voting right of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberKind {
    /// Receives the log but does not vote or count towards commits.
    Learner,
    /// Votes in elections and counts towards commits.
    Voter,
}
