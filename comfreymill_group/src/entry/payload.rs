use crate::membership;
use bytes::Bytes;

/// Content of a log entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Payload {
    /// No content; the first entry of a new leader.
    Noop,
    /// Command of the replicated state machine.
    Data(Bytes),
    /// Membership that applies from this entry on.
    Membership(membership::Membership),
}
