use crate::id;

/// Reason why a replica takes no further part.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Halt {
    /// The data folder is not the one that the group knows under this id.
    #[error(
        "the group knows voter {voter} with another disk: this data folder is new; \
         give the replica a new id and add it as a learner"
    )]
    DiskReplaced {
        /// Id in the settings.
        voter: id::VoterId,
    },
    /// The group removed this replica.
    #[error("voter {voter} was removed from the group: delete its data folder")]
    Removed {
        /// Id in the settings.
        voter: id::VoterId,
    },
    /// A leader sent an entry that contradicts a committed one.
    #[error("entry {index} of term {term} contradicts a committed entry")]
    CommittedConflict {
        /// Position of the entry.
        index: id::Index,
        /// Term that the leader gave.
        term: id::Term,
    },
}
