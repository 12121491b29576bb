use crate::id;
use std::io;

/// The store can't go on; the replica must stop.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The file system refused.
    #[error("{file} at offset {offset}: {operation} failed: {source}")]
    Io {
        /// File concerned.
        file: String,
        /// Where in the file, in bytes.
        offset: u64,
        /// What was tried.
        operation: &'static str,
        /// Answer of the file system.
        source: io::Error,
    },
    /// What was read is not what was written.
    #[error("{file} at offset {offset}: {damage}")]
    Damaged {
        /// File concerned.
        file: String,
        /// Where in the file, in bytes.
        offset: u64,
        /// What is wrong.
        damage: Damage,
    },
    /// The folder belongs to another replica.
    #[error(
        "the folder belongs to voter {found_voter} of group {found_group}, not {voter} of {group}"
    )]
    OtherReplica {
        /// Group in the settings.
        group: id::GroupId,
        /// Replica in the settings.
        voter: id::VoterId,
        /// Group of the folder.
        found_group: id::GroupId,
        /// Replica of the folder.
        found_voter: id::VoterId,
    },
    /// A backup is to be restored into a folder that is in use.
    #[error("the folder is not empty: it holds {file}")]
    NotEmpty {
        /// A file in it.
        file: String,
    },
    /// An earlier call failed.
    #[error("stopped by an earlier failure: {first}")]
    Poisoned {
        /// Text of that failure.
        first: String,
    },
}

/// Kind of damage.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Damage {
    /// A checksum doesn't fit.
    #[error("wrong checksum")]
    Checksum,
    /// The file ends within a frame that others follow.
    #[error("the file ends too early")]
    Short,
    /// Bytes follow the last frame.
    #[error("unexpected bytes after the end")]
    Trailing,
    /// The content can't be decoded.
    #[error("can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
    /// A frame or segment is missing before.
    #[error("number {found} follows where {expected} is due")]
    Sequence {
        /// Number due.
        expected: u64,
        /// Number found.
        found: u64,
    },
    /// Entries are missing before.
    #[error("entry {found} follows entry {last}")]
    Gap {
        /// Last entry before.
        last: id::Index,
        /// Entry found.
        found: id::Index,
    },
    /// The log starts after entries that no snapshot covers.
    #[error("the log starts after entry {base}, and the newest snapshot ends at {snapshot}")]
    NoSnapshot {
        /// Entry before the log's first.
        base: id::Index,
        /// Last entry of the newest snapshot.
        snapshot: id::Index,
    },
    /// The file names another replica or disk.
    #[error("belongs to another replica")]
    OtherReplica,
    /// Files of a log without the identity they belong to.
    #[error("the identity file is missing, and others are there")]
    NoIdentity,
    /// An identity without a log.
    #[error("all segments of the log are missing")]
    NoSegments,
}

impl StoreError {
    /// File system error.
    pub(super) fn io(file: &str, offset: u64, operation: &'static str, source: io::Error) -> Self {
        Self::Io { file: file.to_owned(), offset, operation, source }
    }

    /// Damaged file.
    pub(super) fn damaged(file: &str, offset: u64, damage: Damage) -> Self {
        Self::Damaged { file: file.to_owned(), offset, damage }
    }
}
