use crate::id;

/// Segment file of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Segment {
    /// Number of the segment; consecutive.
    pub(super) number: u64,
    /// Length in bytes.
    pub(super) len: u64,
    /// Highest index ever written to the segment, including entries overwritten later.
    pub(super) max_index: id::Index,
}
