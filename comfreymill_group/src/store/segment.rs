use crate::id;

/// Segment of the log that is on disk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Segment {
    /// Number, rising by one.
    pub(super) number: u64,
    /// Length in bytes.
    pub(super) len: u64,
    /// Highest index that was ever written to it.
    pub(super) max_index: id::Index,
}
