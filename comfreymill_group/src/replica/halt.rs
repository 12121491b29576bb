use crate::id;

/// Reason why a replica halted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Halt {
    /// The group has this id with another data folder.
    #[error(
        "the group has voter {voter} with another disk: this data folder is new; \
         give the replica a new id and add it as a learner"
    )]
    DiskReplaced {
        /// Id of this replica in its settings.
        voter: id::VoterId,
    },
    /// The group removed this replica.
    #[error("voter {voter} was removed from the group: delete its data folder")]
    Removed {
        /// Id of this replica in its settings.
        voter: id::VoterId,
    },
    /// A leader sent an entry that conflicts with a committed one.
    #[error("entry {index} of term {term} conflicts with a committed entry")]
    CommittedConflict {
        /// Index of the entry.
        index: id::Index,
        /// Term of the entry that the leader sent.
        term: id::Term,
    },
}
