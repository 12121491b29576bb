//! Names of the files in a folder.

use crate::id;

/// Identity of the replica.
pub(super) const IDENTITY: &str = "identity";

/// End of the names of files that are being written.
pub(super) const TEMPORARY: &str = ".tmp";

const SEGMENT_START: &str = "log-";
const SEGMENT_END: &str = ".seg";
const SNAPSHOT_START: &str = "snapshot-";
const SNAPSHOT_END: &str = ".snap";

/// Name of the segment `number`.
pub(super) fn segment(number: u64) -> String {
    format!("{SEGMENT_START}{number:020}{SEGMENT_END}")
}

/// Number of the segment `name`.
pub(super) fn segment_number(name: &str) -> Option<u64> {
    name.strip_prefix(SEGMENT_START)?.strip_suffix(SEGMENT_END)?.parse().ok()
}

/// Name of the snapshot that ends at `index`.
pub(super) fn snapshot(index: id::Index) -> String {
    format!("{SNAPSHOT_START}{:020}{SNAPSHOT_END}", index.get())
}

/// Index at which the snapshot `name` ends.
pub(super) fn snapshot_index(name: &str) -> Option<id::Index> {
    name.strip_prefix(SNAPSHOT_START)?.strip_suffix(SNAPSHOT_END)?.parse().ok()
}

/// Name of the file `name` while it is being written.
pub(super) fn temporary(name: &str) -> String {
    format!("{name}{TEMPORARY}")
}
