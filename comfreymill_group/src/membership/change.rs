use crate::id;

/// Membership change that affects a single member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Adds a replica that has announced itself to the leader, as a learner.
    AddLearner(id::VoterId),
    /// Makes a learner that has caught up a voter.
    Promote(id::VoterId),
    /// Removes a learner or a voter other than the leader.
    Remove(id::VoterId),
}
