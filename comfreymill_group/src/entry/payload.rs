use crate::membership;
use bytes::Bytes;

/// Content of an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Payload {
    /// Nothing; a new leader's first entry.
    Noop,
    /// Command of the replicated state machine.
    Data(Bytes),
    /// Membership in force from this entry on.
    Membership(membership::Membership),
}
