use std::io;

use crate::wire;

/// Failure to read a body whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// A chunk's size, extension or end is malformed.
    #[error("a chunk is malformed")]
    BadChunk,
    /// The trailer is malformed or too large.
    #[error("the trailer is malformed or too large")]
    BadTrailer,
    /// The body is larger than the limit.
    #[error("the body is larger than the limit")]
    TooLarge,
    /// The bodies of all requests together take more memory than the limit.
    #[error("the bodies of all requests together take more memory than the limit")]
    MemoryLimit,
    /// The connection ended before the body did.
    #[error("the connection ended before the body did")]
    CutShort,
    /// The body made no progress within the limit.
    #[error("the body made no progress within the limit")]
    TimedOut,
    /// The body is shorter or longer than the length that was stated for it.
    #[error("the body does not have the length that was stated for it")]
    WrongLength,
    /// The socket failed.
    #[error("the socket failed: {0}")]
    Io(io::ErrorKind),
}

impl From<wire::WireError> for BodyError {
    fn from(err: wire::WireError) -> Self {
        match err {
            wire::WireError::TimedOut => Self::TimedOut,
            wire::WireError::Io(err) => Self::Io(err.kind()),
        }
    }
}
