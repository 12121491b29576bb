/// Announces a replica with an empty log.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Hello {
    /// Whether the sender founds the group and asks the other first voters to accept it.
    #[prost(bool, tag = "1")]
    pub founding: bool,
    /// Sender's monotonic clock at sending, in microseconds.
    #[prost(uint64, tag = "2")]
    pub sent_at_micros: u64,
}

/// Response to [`Hello`]; also tells a pre-candidate that the group removed it.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HelloResponse {
    /// Whether the sender accepts the receiver as the founder.
    #[prost(bool, tag = "1")]
    pub founder_accepted: bool,
    /// Whether the group removed the receiver, or has its id with another disk.
    #[prost(bool, tag = "2")]
    pub refused: bool,
    /// `sent_at_micros` of the request; 0 in response to a pre-vote.
    #[prost(uint64, tag = "3")]
    pub sent_at_micros: u64,
    /// Entry of the membership that doesn't contain the receiver; 0 if the response says nothing
    /// about it, or is of an earlier build.
    #[prost(uint64, tag = "4")]
    pub membership_index: u64,
}
