/// Renews the leader's lease.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Leader's commit index, or the last index at which the receiver's log is known to match if
    /// that is lower.
    #[prost(uint64, tag = "1")]
    pub commit: u64,
    /// Leader's monotonic clock at sending, in microseconds.
    #[prost(uint64, tag = "2")]
    pub sent_at_micros: u64,
}

/// Response to [`Heartbeat`], sent without waiting for a sync.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HeartbeatResponse {
    /// `sent_at_micros` of the request.
    #[prost(uint64, tag = "1")]
    pub sent_at_micros: u64,
}
