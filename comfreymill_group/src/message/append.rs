use crate::entry;

/// Entries of the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Append {
    /// Index before the first entry.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// Term at that index.
    #[prost(uint64, tag = "2")]
    pub prev_term: u64,
    /// Commit index of the leader.
    #[prost(uint64, tag = "3")]
    pub commit: u64,
    /// Leader's clock when sent, in microseconds.
    #[prost(uint64, tag = "4")]
    pub sent_at_micros: u64,
    /// Entries without gaps.
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<entry::EntryRecord>,
}

/// Answers [`Append`] once its entries are synced.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct AppendResponse {
    /// `prev_index` of the request.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// Whether the log lacks the entry before.
    #[prost(bool, tag = "2")]
    pub rejected: bool,
    /// Last index known to agree, or where to try next if rejected.
    #[prost(uint64, tag = "3")]
    pub index: u64,
    /// `sent_at_micros` of the request.
    #[prost(uint64, tag = "4")]
    pub sent_at_micros: u64,
}
