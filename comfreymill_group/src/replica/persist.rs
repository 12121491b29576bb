use crate::entry;
use crate::id;
use crate::snapshot;

/// Write that must be synced before [`crate::replica::Replica::persisted`] is called with its
/// sequence.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Persist {
    /// Number of the write.
    pub sequence: id::Sequence,
    /// Term and vote, if changed.
    pub hard_state: Option<entry::HardState>,
    /// Entries without gaps; they replace all stored entries from the first one's index on.
    pub entries: Vec<entry::Entry>,
    /// Snapshot, if there is a new one; it goes before the entries.
    pub snapshot: Option<snapshot::Snapshot>,
    /// Whether all stored entries are void and the log goes on after the snapshot.
    pub reset: bool,
}
