/// Announces a replica with an empty log.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Hello {
    /// Whether the sender founds the group and asks for every founder's vote.
    #[prost(bool, tag = "1")]
    pub founding: bool,
    /// Sender's clock when sent, in microseconds.
    #[prost(uint64, tag = "2")]
    pub sent_at_micros: u64,
}

/// Answers [`Hello`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HelloResponse {
    /// Whether the sender will follow the founder that asked.
    #[prost(bool, tag = "1")]
    pub founder_accepted: bool,
    /// Whether the group removed the receiver, or knows its id with another disk.
    #[prost(bool, tag = "2")]
    pub refused: bool,
    /// `sent_at_micros` of the request; 0 if the receiver's pre-vote is answered.
    #[prost(uint64, tag = "3")]
    pub sent_at_micros: u64,
}
