/// Asks whether an election in the term after the sender's could be won.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PreVote {
    /// Last index of the sender's log.
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub last_term: u64,
}

/// Answers [`PreVote`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PreVoteResponse {
    /// Term of the question.
    #[prost(uint64, tag = "1")]
    pub asked_term: u64,
    /// Whether the sender would vote.
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

/// Asks for a vote in the sender's term.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Vote {
    /// Last index of the sender's log.
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub last_term: u64,
    /// Whether the present leader gave its lease up for this election.
    #[prost(bool, tag = "3")]
    pub transfer: bool,
}

/// Answers [`Vote`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct VoteResponse {
    /// Whether the vote is given.
    #[prost(bool, tag = "1")]
    pub granted: bool,
}
