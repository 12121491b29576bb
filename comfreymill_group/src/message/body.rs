use crate::message;

/// Content of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Asks whether the receiver would grant its vote, without starting a term.
    #[prost(message, tag = "3")]
    PreVote(message::PreVote),
    /// Response to [`Body::PreVote`].
    #[prost(message, tag = "4")]
    PreVoteResponse(message::PreVoteResponse),
    /// Requests a vote.
    #[prost(message, tag = "5")]
    Vote(message::Vote),
    /// Response to [`Body::Vote`].
    #[prost(message, tag = "6")]
    VoteResponse(message::VoteResponse),
    /// Appends entries of the leader to a follower's log.
    #[prost(message, tag = "7")]
    Append(message::Append),
    /// Response to [`Body::Append`].
    #[prost(message, tag = "8")]
    AppendResponse(message::AppendResponse),
    /// Renews the leader's lease.
    #[prost(message, tag = "9")]
    Heartbeat(message::Heartbeat),
    /// Response to [`Body::Heartbeat`].
    #[prost(message, tag = "10")]
    HeartbeatResponse(message::HeartbeatResponse),
    /// Chunk of a snapshot.
    #[prost(message, tag = "11")]
    SnapshotChunk(message::SnapshotChunk),
    /// Response to [`Body::SnapshotChunk`].
    #[prost(message, tag = "12")]
    SnapshotResponse(message::SnapshotResponse),
    /// Tells a follower to start an election immediately.
    #[prost(message, tag = "13")]
    TimeoutNow(message::TimeoutNow),
    /// Announces a replica with an empty log.
    #[prost(message, tag = "14")]
    Hello(message::Hello),
    /// Response to [`Body::Hello`].
    #[prost(message, tag = "15")]
    HelloResponse(message::HelloResponse),
}
