use crate::entry;

/// Payload of a frame of the log.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WriteRecord {
    /// Term and vote, if changed.
    #[prost(message, optional, tag = "1")]
    pub(super) hard_state: Option<entry::HardStateRecord>,
    /// Position after which the log goes on, all entries before being void.
    #[prost(message, optional, tag = "2")]
    pub(super) reset: Option<PositionRecord>,
    /// Entries; they replace those from the first one's index on.
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
    /// Replica that the segment belongs to.
    #[prost(message, optional, tag = "1")]
    pub(super) identity: Option<IdentityRecord>,
    /// Number of the segment.
    #[prost(uint64, tag = "2")]
    pub(super) number: u64,
    /// Term and vote at the start.
    #[prost(message, optional, tag = "3")]
    pub(super) hard_state: Option<entry::HardStateRecord>,
    /// Last entry before the segment.
    #[prost(message, optional, tag = "4")]
    pub(super) last: Option<PositionRecord>,
}

/// Identity of a replica.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct IdentityRecord {
    /// Group.
    #[prost(uint64, tag = "1")]
    pub(super) group: u64,
    /// Replica.
    #[prost(uint64, tag = "2")]
    pub(super) voter: u64,
    /// Disk.
    #[prost(fixed64, tag = "3")]
    pub(super) disk: u64,
}

/// Payload of the first frame of a snapshot; the data follows in a second one.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct SnapshotRecord {
    /// Group of the snapshot.
    #[prost(uint64, tag = "1")]
    pub(super) group: u64,
    /// Last entry that it covers.
    #[prost(message, optional, tag = "2")]
    pub(super) last: Option<PositionRecord>,
    /// Membership at that entry.
    #[prost(message, optional, tag = "3")]
    pub(super) membership: Option<entry::MembershipRecord>,
    /// Length of the data, in bytes.
    #[prost(uint64, tag = "4")]
    pub(super) data_bytes: u64,
    /// CRC-32 of the data.
    #[prost(fixed32, tag = "5")]
    pub(super) data_checksum: u32,
}
