//! Snapshots of the replicated state machine.

mod meta;
mod whole;

pub use meta::SnapshotMeta;
pub use whole::Snapshot;
