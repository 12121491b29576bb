use crate::id;
use std::io;

/// Error of a store that can't continue; the replica must stop.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file system operation failed.
    #[error("{file} at offset {offset}: {operation} failed: {source}")]
    Io {
        /// Name of the file.
        file: String,
        /// Offset in the file, in bytes.
        offset: u64,
        /// Operation that failed.
        operation: &'static str,
        /// Error of the file system.
        source: io::Error,
    },
    /// A file is corrupt: its content is not what was written.
    #[error("{file} at offset {offset}: {corruption}")]
    Corrupt {
        /// Name of the file.
        file: String,
        /// Offset in the file, in bytes.
        offset: u64,
        /// Kind of corruption.
        corruption: Corruption,
    },
    /// The folder belongs to another replica.
    #[error(
        "the folder belongs to voter {found_voter} of group {found_group}, \
         not to voter {voter} of group {group}"
    )]
    OtherReplica {
        /// Configured group.
        group: id::GroupId,
        /// Configured replica.
        voter: id::VoterId,
        /// Group stored in the folder.
        found_group: id::GroupId,
        /// Replica stored in the folder.
        found_voter: id::VoterId,
    },
    /// The folder to restore a backup into is not empty.
    #[error("the folder is not empty: it contains {file}")]
    NotEmpty {
        /// Name of a file in the folder.
        file: String,
    },
    /// An earlier write failed.
    #[error("the store stopped after an earlier error: {first}")]
    Poisoned {
        /// Text of the earlier error.
        first: String,
    },
}

/// Kind of corruption in a file.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Corruption {
    /// A checksum doesn't match.
    #[error("checksum mismatch")]
    Checksum,
    /// The file is truncated.
    #[error("the file is truncated")]
    Truncated,
    /// Bytes follow the end of the content.
    #[error("unexpected trailing bytes")]
    Trailing,
    /// A record can't be decoded.
    #[error("the record can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
    /// A frame, segment or snapshot has an unexpected number.
    #[error("unexpected number {found}, expected {expected}")]
    Sequence {
        /// Expected number.
        expected: u64,
        /// Number in the file.
        found: u64,
    },
    /// The entries are not consecutive.
    #[error("gap in the log: entry {found} follows entry {last}")]
    Gap {
        /// Index of the previous entry.
        last: id::Index,
        /// Index of the entry in the file.
        found: id::Index,
    },
    /// The log starts after entries that no snapshot covers.
    #[error("the log starts after entry {base}, but the newest snapshot ends at entry {snapshot}")]
    NoSnapshot {
        /// Index of the entry before the first one in the log.
        base: id::Index,
        /// Index of the newest snapshot; zero if there is none.
        snapshot: id::Index,
    },
    /// The file belongs to another group, replica or disk.
    #[error("the file belongs to another replica")]
    OtherReplica,
    /// The identity file is missing, but the folder contains other files.
    #[error("the identity file is missing, but other files exist")]
    NoIdentity,
    /// The folder has an identity file, but no segments.
    #[error("all segments of the log are missing")]
    NoSegments,
}

impl StoreError {
    /// Creates an error of the file system.
    pub(super) fn io(file: &str, offset: u64, operation: &'static str, source: io::Error) -> Self {
        Self::Io { file: file.to_owned(), offset, operation, source }
    }

    /// Creates an error for a corrupt file.
    pub(super) fn corrupt(file: &str, offset: u64, corruption: Corruption) -> Self {
        Self::Corrupt { file: file.to_owned(), offset, corruption }
    }
}
