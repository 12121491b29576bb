use crate::entry;

/// Appends entries of the leader to a follower's log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Append {
    /// Index of the entry before the first one sent.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// Term of the entry at `prev_index`.
    #[prost(uint64, tag = "2")]
    pub prev_term: u64,
    /// Commit index of the leader.
    #[prost(uint64, tag = "3")]
    pub commit: u64,
    /// Leader's monotonic clock at sending, in microseconds.
    #[prost(uint64, tag = "4")]
    pub sent_at_micros: u64,
    /// Entries at consecutive indexes, starting after `prev_index`.
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<entry::EntryRecord>,
}

/// Response to [`Append`], sent once the entries are synced.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct AppendResponse {
    /// `prev_index` of the request.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// Whether the log has no entry at `prev_index` with the term of the request.
    #[prost(bool, tag = "2")]
    pub rejected: bool,
    /// Last index known to match the leader's log, or the index to try next if rejected.
    #[prost(uint64, tag = "3")]
    pub index: u64,
    /// `sent_at_micros` of the request.
    #[prost(uint64, tag = "4")]
    pub sent_at_micros: u64,
}
