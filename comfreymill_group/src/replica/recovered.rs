use crate::entry;
use crate::id;
use crate::snapshot;

/// State that a replica recovers from its data folder when it starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// Id of the replica.
    pub voter: id::VoterId,
    /// Id of the data folder.
    pub disk: id::DiskId,
    /// Last stored term and vote.
    pub hard_state: entry::HardState,
    /// Newest snapshot.
    pub snapshot: Option<snapshot::Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<entry::Entry>,
}
