use crate::entry;
use bytes::Bytes;

/// Part of a snapshot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotChunk {
    /// Last entry that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub index_term: u64,
    /// Membership at that entry.
    #[prost(message, optional, tag = "3")]
    pub membership: Option<entry::MembershipRecord>,
    /// Where the part starts, in bytes.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Length of the whole, in bytes.
    #[prost(uint64, tag = "5")]
    pub total: u64,
    /// CRC-32 of the whole.
    #[prost(fixed32, tag = "6")]
    pub checksum: u32,
    /// The part.
    #[prost(bytes = "bytes", tag = "7")]
    pub data: Bytes,
    /// Leader's clock when sent, in microseconds.
    #[prost(uint64, tag = "8")]
    pub sent_at_micros: u64,
}

/// Answers [`SnapshotChunk`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SnapshotResponse {
    /// Last entry that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Where the next part starts, in bytes.
    #[prost(uint64, tag = "2")]
    pub next_offset: u64,
    /// `sent_at_micros` of the request.
    #[prost(uint64, tag = "3")]
    pub sent_at_micros: u64,
}
