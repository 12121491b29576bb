use std::io;

use super::refusal;
use crate::{body, wire};

/// Failure on the server side of a connection.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The request was refused; the refusal was sent if the peer still accepted it.
    #[error("refused: {0}")]
    Refused(refusal::Refusal),
    /// The body of the request could not be read completely.
    #[error("request body: {0}")]
    Body(#[from] body::BodyError),
    /// The response was dropped before it was complete.
    #[error("the response was dropped before it was complete")]
    UnfinishedResponse,
    /// The body of the response does not have its stated length.
    #[error("the body of the response does not have its stated length")]
    WrongLength,
    /// The status is an interim (1xx) status, which is not allowed for a final response.
    #[error("a final response cannot have an interim (1xx) status")]
    InterimStatus,
    /// The peer accepted no bytes of the response within the write timeout.
    #[error("the peer accepted no bytes of the response within the write timeout")]
    WriteTimeout,
    /// The socket returned an error.
    #[error("socket error: {0}")]
    Io(#[from] io::Error),
}

impl From<wire::WireError> for ServerError {
    fn from(err: wire::WireError) -> Self {
        match err {
            wire::WireError::TimedOut => Self::WriteTimeout,
            wire::WireError::Io(err) => Self::Io(err),
        }
    }
}
