use crate::id;

/// Change of one member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Adds a replica that has announced itself, as a learner.
    AddLearner(id::VoterId),
    /// Gives a learner that has caught up its vote.
    Promote(id::VoterId),
    /// Removes a learner or a voter other than the leader.
    Remove(id::VoterId),
}
