use crate::snapshot::SnapshotMeta;
use bytes::Bytes;

/// State of the replicated state machine at one index.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Position and membership.
    pub meta: SnapshotMeta,
    /// Encoded state; opaque here.
    pub data: Bytes,
}

impl Snapshot {
    /// CRC-32 of the encoded state.
    pub fn checksum(&self) -> u32 {
        crc32fast::hash(&self.data)
    }
}
