use crate::id;
use crate::store::StoreError;

/// Result of writes queued on a [`crate::store::Thread`].
#[derive(Debug)]
pub enum Completion {
    /// All writes up to this sequence number are synced.
    Synced(id::Sequence),
    /// The store failed; it executes no later write, and the replica must stop.
    Failed(StoreError),
}
