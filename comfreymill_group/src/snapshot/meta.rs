use crate::id;
use crate::membership;

/// Log position and membership of a snapshot.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SnapshotMeta {
    /// Last entry that the snapshot covers.
    pub index: id::Index,
    /// Term of that entry.
    pub term: id::Term,
    /// Membership in force at that entry.
    pub membership: membership::Membership,
}
