use crate::entry;
use crate::id;
use crate::snapshot;

/// Write that must be synced before [`crate::replica::Replica::persisted`] is called with its
/// sequence.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Persist {
    /// Sequence number of the write.
    pub sequence: id::Sequence,
    /// Term and vote, if changed.
    pub hard_state: Option<entry::HardState>,
    /// Entries at consecutive indexes; they replace all stored entries from the first index on.
    pub entries: Vec<entry::Entry>,
    /// New snapshot, if any; it is written before the entries.
    pub snapshot: Option<snapshot::Snapshot>,
    /// Whether all stored entries are discarded and the log continues after the snapshot.
    pub reset: bool,
}
