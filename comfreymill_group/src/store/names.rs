//! Names of the files in the data folder.

use crate::id;

/// Name of the file with the identity of the replica.
pub(super) const IDENTITY: &str = "identity";

/// Name of the empty file that marks the other files as those of a retired replica.
pub(super) const RETIRED: &str = "retired";

/// Suffix of files that are being written.
pub(super) const TEMPORARY_SUFFIX: &str = ".tmp";

const SEGMENT_PREFIX: &str = "log-";
const SEGMENT_SUFFIX: &str = ".seg";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const SNAPSHOT_SUFFIX: &str = ".snap";

/// Returns the file name of segment `number`.
pub(super) fn segment(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:020}{SEGMENT_SUFFIX}")
}

/// Returns the segment number in the file name `name`.
pub(super) fn segment_number(name: &str) -> Option<u64> {
    name.strip_prefix(SEGMENT_PREFIX)?.strip_suffix(SEGMENT_SUFFIX)?.parse().ok()
}

/// Returns the file name of the snapshot at `index`.
pub(super) fn snapshot(index: id::Index) -> String {
    format!("{SNAPSHOT_PREFIX}{:020}{SNAPSHOT_SUFFIX}", index.get())
}

/// Returns the snapshot index in the file name `name`.
pub(super) fn snapshot_index(name: &str) -> Option<id::Index> {
    name.strip_prefix(SNAPSHOT_PREFIX)?.strip_suffix(SNAPSHOT_SUFFIX)?.parse().ok()
}

/// Returns the temporary name of the file `name` while it is being written.
pub(super) fn temporary(name: &str) -> String {
    format!("{name}{TEMPORARY_SUFFIX}")
}

/// Returns whether `name` is a file of a replica, complete or still being written.
pub(super) fn is_of_replica(name: &str) -> bool {
    let name = name.strip_suffix(TEMPORARY_SUFFIX).unwrap_or(name);
    name == IDENTITY || segment_number(name).is_some() || snapshot_index(name).is_some()
}
