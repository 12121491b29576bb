//! Messages between the replicas of a group.
//!
//! Every message contains its sender's term and disk. The sender's voter id is not part of the
//! message: the connection authenticates it once.

mod append;
mod body;
mod envelope;
mod error;
mod heartbeat;
mod hello;
mod snapshot_chunk;
mod timeout_now;
mod vote;

pub use append::{Append, AppendResponse};
pub use body::Body;
pub use envelope::{MAX_MESSAGE_BYTES, Message};
pub use error::DecodeError;
pub use heartbeat::{Heartbeat, HeartbeatResponse};
pub use hello::{Hello, HelloResponse};
pub use snapshot_chunk::{SnapshotChunk, SnapshotResponse};
pub use timeout_now::TimeoutNow;
pub use vote::{PreVote, PreVoteResponse, Vote, VoteResponse};
