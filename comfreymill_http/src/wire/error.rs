use std::io;

/// Failure of a read or write.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WireError {
    /// The peer made no progress within the limit.
    #[error("the peer made no progress within the limit")]
    TimedOut,
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}
