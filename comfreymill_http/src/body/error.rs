use std::io;

use crate::wire;

/// Reason why a body could not be read or sent completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The size, extension or end of a chunk is malformed, or its extensions are too long.
    #[error("a chunk is malformed")]
    BadChunk,
    /// The trailer is malformed or too large.
    #[error("the trailer is malformed or too large")]
    BadTrailer,
    /// The body is larger than its size limit.
    #[error("the body is larger than the limit")]
    TooLarge,
    /// The collected bodies of all requests of the listener exceed their memory limit.
    #[error("the bodies of all requests together take more memory than the limit")]
    MemoryLimit,
    /// The connection ended before the end of the body.
    #[error("the connection ended before the body did")]
    CutShort,
    /// Too few bytes of the body arrived within the progress timeout, or `100 Continue` could not
    /// be written in time.
    #[error("the body made no progress within the limit")]
    TimedOut,
    /// The body is shorter or longer than its stated length.
    #[error("the body does not have the length that was stated for it")]
    WrongLength,
    /// The socket returned an error.
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
