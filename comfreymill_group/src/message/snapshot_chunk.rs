use crate::entry;
use bytes::Bytes;

/// Chunk of a snapshot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotChunk {
    /// Last entry that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub index_term: u64,
    /// Membership that applies at that entry.
    #[prost(message, optional, tag = "3")]
    pub membership: Option<entry::MembershipRecord>,
    /// Offset of the chunk in the snapshot, in bytes.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Length of the whole snapshot, in bytes.
    #[prost(uint64, tag = "5")]
    pub total: u64,
    /// CRC-32 of the whole snapshot.
    #[prost(fixed32, tag = "6")]
    pub checksum: u32,
    /// Bytes of the chunk.
    #[prost(bytes = "bytes", tag = "7")]
    pub data: Bytes,
    /// Leader's monotonic clock at sending, in microseconds.
    #[prost(uint64, tag = "8")]
    pub sent_at_micros: u64,
}

/// Response to [`SnapshotChunk`] while the snapshot is incomplete.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SnapshotResponse {
    /// Last entry that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Offset of the next chunk that the receiver expects, in bytes.
    #[prost(uint64, tag = "2")]
    pub next_offset: u64,
    /// `sent_at_micros` of the request.
    #[prost(uint64, tag = "3")]
    pub sent_at_micros: u64,
}
