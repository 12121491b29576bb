use crate::entry;

/// Payload of a frame in the log, written by one or more writes.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WriteRecord {
    /// New term and vote, if changed.
    #[prost(message, optional, tag = "1")]
    pub(super) hard_state: Option<entry::HardStateRecord>,
    /// Position at which the log restarts; all earlier entries are discarded.
    #[prost(message, optional, tag = "2")]
    pub(super) reset: Option<PositionRecord>,
    /// Entries; they replace all stored entries from the first index on.
    #[prost(message, repeated, tag = "3")]
    pub(super) entries: Vec<entry::EntryRecord>,
}

/// Position in the log.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct PositionRecord {
    /// Index of the entry.
    #[prost(uint64, tag = "1")]
    pub(super) index: u64,
    /// Term of the entry.
    #[prost(uint64, tag = "2")]
    pub(super) term: u64,
}

/// Payload of the first frame of a segment.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct SegmentRecord {
    /// Identity of the replica that the segment belongs to.
    #[prost(message, optional, tag = "1")]
    pub(super) identity: Option<IdentityRecord>,
    /// Number of the segment.
    #[prost(uint64, tag = "2")]
    pub(super) number: u64,
    /// Term and vote at the start of the segment.
    #[prost(message, optional, tag = "3")]
    pub(super) hard_state: Option<entry::HardStateRecord>,
    /// Position of the last entry before the segment.
    #[prost(message, optional, tag = "4")]
    pub(super) last: Option<PositionRecord>,
}

/// Identity of a replica, in the identity file and the segment headers.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct IdentityRecord {
    /// Id of the group.
    #[prost(uint64, tag = "1")]
    pub(super) group: u64,
    /// Id of the replica.
    #[prost(uint64, tag = "2")]
    pub(super) voter: u64,
    /// Id of the data folder.
    #[prost(fixed64, tag = "3")]
    pub(super) disk: u64,
}

/// Payload of the frame at the start of a snapshot file; the unframed data follows.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct SnapshotRecord {
    /// Id of the group of the snapshot.
    #[prost(uint64, tag = "1")]
    pub(super) group: u64,
    /// Position of the last entry that the snapshot covers.
    #[prost(message, optional, tag = "2")]
    pub(super) last: Option<PositionRecord>,
    /// Membership in force at that entry.
    #[prost(message, optional, tag = "3")]
    pub(super) membership: Option<entry::MembershipRecord>,
    /// Length of the data, in bytes.
    #[prost(uint64, tag = "4")]
    pub(super) data_bytes: u64,
    /// CRC-32 of the data.
    #[prost(fixed32, tag = "5")]
    pub(super) data_checksum: u32,
}
