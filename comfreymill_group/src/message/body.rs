use crate::message;

/// Kinds of message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Asks whether an election could be won.
    #[prost(message, tag = "3")]
    PreVote(message::PreVote),
    /// Answers [`Body::PreVote`].
    #[prost(message, tag = "4")]
    PreVoteResponse(message::PreVoteResponse),
    /// Asks for a vote.
    #[prost(message, tag = "5")]
    Vote(message::Vote),
    /// Answers [`Body::Vote`].
    #[prost(message, tag = "6")]
    VoteResponse(message::VoteResponse),
    /// Entries of the leader.
    #[prost(message, tag = "7")]
    Append(message::Append),
    /// Answers [`Body::Append`].
    #[prost(message, tag = "8")]
    AppendResponse(message::AppendResponse),
    /// Renews the leader's lease.
    #[prost(message, tag = "9")]
    Heartbeat(message::Heartbeat),
    /// Answers [`Body::Heartbeat`].
    #[prost(message, tag = "10")]
    HeartbeatResponse(message::HeartbeatResponse),
    /// Part of a snapshot.
    #[prost(message, tag = "11")]
    SnapshotChunk(message::SnapshotChunk),
    /// Answers [`Body::SnapshotChunk`].
    #[prost(message, tag = "12")]
    SnapshotResponse(message::SnapshotResponse),
    /// Tells a follower to stand for election at once.
    #[prost(message, tag = "13")]
    TimeoutNow(message::TimeoutNow),
    /// Announces a replica with an empty log.
    #[prost(message, tag = "14")]
    Hello(message::Hello),
    /// Answers [`Body::Hello`].
    #[prost(message, tag = "15")]
    HelloResponse(message::HelloResponse),
}
