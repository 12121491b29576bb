use std::io;
use std::path::PathBuf;

use comfreymill_types::error;

use super::Frame;

/// Why a connection to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The socket failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer sent or accepted nothing in time.
    #[error("the peer timed out")]
    TimedOut,
    /// The peer closed the connection.
    #[error("the peer closed the connection")]
    Closed,
    /// The peer belongs to another cluster.
    #[error("the peer belongs to cluster `{theirs}`, not `{ours}`")]
    ForeignCluster {
        /// Cluster of this process.
        ours: String,
        /// Cluster that the peer names.
        theirs: String,
    },
    /// The peer speaks another protocol version.
    #[error("the peer speaks protocol version {theirs}, not {ours}")]
    ForeignVersion {
        /// Version of this process.
        ours: u32,
        /// Version that the peer names.
        theirs: u32,
    },
    /// The peer does not hold the cluster key.
    #[error("the peer does not hold the cluster key")]
    WrongKey,
    /// The peer sent a frame that the protocol does not allow.
    #[error("the peer sent a malformed frame: {0}")]
    Malformed(String),
    /// The key file cannot be used.
    #[error("key file {}: {reason}", path.display())]
    KeyFile {
        /// File of the key.
        path: PathBuf,
        /// What is wrong with the file.
        reason: String,
    },
}

impl PeerError {
    /// Creates the error for a frame of a kind that the peer must not send.
    pub(crate) fn unexpected(frame: &Frame) -> Self {
        Self::Malformed(format!("unexpected frame of kind {}", frame.kind))
    }

    /// Returns the error kind that is reported to callers.
    pub fn get_kind(&self) -> error::ErrorKind {
        match self {
            Self::Io(_) | Self::TimedOut | Self::Closed => error::ErrorKind::Unreachable,
            Self::ForeignCluster { .. } | Self::ForeignVersion { .. } => {
                error::ErrorKind::ForeignCluster
            }
            Self::WrongKey => error::ErrorKind::Unauthorized,
            Self::Malformed(_) => error::ErrorKind::BadRequest,
            Self::KeyFile { .. } => error::ErrorKind::InvalidSettings,
        }
    }
}
