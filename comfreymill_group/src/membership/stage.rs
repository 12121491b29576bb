/// Part a member takes in agreement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Receives the log and has no vote.
    Learner,
    /// Votes, and counts for commits.
    Voter,
}
