use std::io;

/// Failure of a socket read or write.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WireError {
    /// The peer sent or accepted no bytes within the timeout.
    #[error("the peer made no progress within the timeout")]
    TimedOut,
    /// The operating system reported an error.
    #[error(transparent)]
    Io(#[from] io::Error),
}
