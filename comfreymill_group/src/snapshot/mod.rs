//! Snapshots of the replicated state machine.

mod meta;
mod state;

pub use meta::SnapshotMeta;
pub use state::Snapshot;
