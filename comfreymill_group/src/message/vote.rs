/// Asks whether the receiver would grant its vote in the term after the sender's.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PreVote {
    /// Last index of the sender's log.
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub last_term: u64,
}

/// Response to [`PreVote`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PreVoteResponse {
    /// Term that the pre-vote asked about.
    #[prost(uint64, tag = "1")]
    pub asked_term: u64,
    /// Whether the sender would grant its vote.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// Code of the reason of a refusal; 0 if it is granted, or if the sender is of an earlier build.
    #[prost(uint32, tag = "3")]
    pub reason: u32,
}

/// Requests a vote in the sender's term.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Vote {
    /// Last index of the sender's log.
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub last_term: u64,
    /// Whether the current leader released its lease for this election.
    #[prost(bool, tag = "3")]
    pub transfer: bool,
}

/// Response to [`Vote`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct VoteResponse {
    /// Whether the vote is granted.
    #[prost(bool, tag = "1")]
    pub granted: bool,
    /// Code of the reason of a refusal; 0 if it is granted, or if the sender is of an earlier build.
    #[prost(uint32, tag = "2")]
    pub reason: u32,
}
