//! Files of one replica: its identity, the segments of its log and its snapshots.
//!
//! A write is one *frame*: length, sequence, payload and two checksums, so that a write cut short
//! by a crash is always the last frame of the last segment. That one is cut off when the store is
//! opened; any other damage is an error that names file and offset, and the replica doesn't
//! start. A write or sync that fails poisons the store: every later call fails too.
//!
//! A new segment begins with a header that repeats the term, the vote and the log's position, and
//! appears under its name only once it is synced. Segments are removed from the oldest on, when a
//! synced snapshot covers all their entries.

mod completion;
mod disk;
mod error;
mod files;
mod folder;
mod frame;
mod identity;
mod names;
mod options;
mod record;
mod replay;
mod restore;
mod segment;
mod snapshot_file;
mod thread;

pub use completion::Completion;
pub use disk::Disk;
pub use error::{Damage, StoreError};
pub use files::Store;
pub use folder::FolderDisk;
pub use identity::Identity;
pub use options::Options;
pub use thread::Thread;
