use crate::id;
use crate::store::StoreError;

/// Outcome of writes handed to a [`crate::store::Thread`].
#[derive(Debug)]
pub enum Completion {
    /// All writes up to this one are synced.
    Synced(id::Sequence),
    /// The store failed; no later write is carried out, and the replica must stop.
    Failed(StoreError),
}
