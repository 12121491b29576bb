use crate::id;

/// Membership change that affects a single member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Adds a replica that has announced itself to the leader, as a learner.
    AddLearner(id::VoterId),
    /// Adds a replica that has announced itself to the leader, as a voter. It lacks all entries, so the
    /// quorum must not grow by it.
    AddVoter(id::VoterId),
    /// Makes a learner a voter. It has to have caught up if the quorum grows by it.
    Promote(id::VoterId),
    /// Removes a learner or a voter other than the leader.
    Remove(id::VoterId),
}
