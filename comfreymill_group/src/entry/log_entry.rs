use crate::entry::Payload;
use crate::id;

/// Log entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Position in the log.
    pub index: id::Index,
    /// Term of the leader that appended it.
    pub term: id::Term,
    /// Content of the entry.
    pub payload: Payload,
}

impl Entry {
    /// Returns the approximate size in bytes that counts against the batch, in-flight and
    /// uncommitted limits.
    pub fn size_bytes(&self) -> usize {
        const OVERHEAD_BYTES: usize = 32;
        const MEMBER_BYTES: usize = 24;
        let payload_bytes = match &self.payload {
            Payload::Noop => 0,
            Payload::Data(data) => data.len(),
            Payload::Membership(membership) => membership.len() * MEMBER_BYTES,
        };
        OVERHEAD_BYTES + payload_bytes
    }
}
