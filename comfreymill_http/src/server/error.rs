use std::io;

use super::refusal;
use crate::{body, wire};

/// Failure of a server's connection.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The request was refused, and the refusal was sent if the peer still took it.
    #[error("refused: {0}")]
    Refused(refusal::Refusal),
    /// The body of the request could not be read whole.
    #[error("body of the request: {0}")]
    Body(#[from] body::BodyError),
    /// The answer was dropped before its end.
    #[error("the answer was dropped before its end")]
    UnfinishedAnswer,
    /// The body of the answer does not have the length that was stated for it.
    #[error("the body of the answer does not have the length that was stated for it")]
    WrongLength,
    /// The status is an interim one, which cannot be a final answer.
    #[error("an interim status cannot be a final answer")]
    InterimStatus,
    /// The peer took nothing of the answer within the limit.
    #[error("the peer took nothing of the answer within the limit")]
    WriteTimeout,
    /// The socket failed.
    #[error("the socket failed: {0}")]
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
