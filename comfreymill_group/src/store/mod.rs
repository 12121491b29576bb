//! Persistent storage of one replica: its identity, the segments of its log and its snapshots.
//!
//! Each write is one *frame*: length, sequence number, payload and two checksums. A crash can
//! tear only the last frame of the last segment, and opening the store truncates that frame. Any
//! other corruption is an error with the file and offset, and the replica doesn't start. A failed
//! write or sync poisons the store: all later writes fail too.
//!
//! A new segment begins with a header that repeats the term, the vote and the last log position.
//! The segment gets its final name only after it is synced. Segments are removed, oldest first,
//! when a synced snapshot covers all their entries.
//!
//! A power loss may keep or drop each unsynced write and each created, renamed or removed name
//! independently. Whatever refers to a name is therefore written after the folder was synced. The
//! files of a replica that left its group are removed under a durable marker.

mod completion;
mod disk;
mod error;
mod files;
mod folder;
mod frame;
mod identity;
mod names;
mod new_store;
mod options;
mod prepared;
mod record;
mod replay;
mod restore;
mod retire;
mod segment;
mod snapshot_file;
mod thread;

pub use completion::Completion;
pub use disk::Disk;
pub use error::{Corruption, StoreError};
pub use files::Store;
pub use folder::FolderDisk;
pub use identity::Identity;
pub use new_store::NewStore;
pub use options::Options;
pub use prepared::Prepared;
pub use thread::Thread;
