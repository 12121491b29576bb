/// Renews the leader's lease.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Commit index, as far as the receiver's log is known to agree.
    #[prost(uint64, tag = "1")]
    pub commit: u64,
    /// Leader's clock when sent, in microseconds.
    #[prost(uint64, tag = "2")]
    pub sent_at_micros: u64,
}

/// Answers [`Heartbeat`] without waiting for a sync.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HeartbeatResponse {
    /// `sent_at_micros` of the request.
    #[prost(uint64, tag = "1")]
    pub sent_at_micros: u64,
}
