use crate::snapshot::SnapshotMeta;
use bytes::Bytes;

/// State of the replicated state machine after applying the log up to an index.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Log position and membership of the snapshot.
    pub meta: SnapshotMeta,
    /// Encoded state, opaque to this crate.
    pub data: Bytes,
}

impl Snapshot {
    /// Returns the CRC-32 of the encoded state.
    pub fn checksum(&self) -> u32 {
        crc32fast::hash(&self.data)
    }
}
