use std::io;

use super::sent;
use crate::{body, head};

/// Failure of a request at the client, with what is known of its sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{fault} ({sent})")]
pub struct ClientError {
    /// What failed.
    pub fault: ClientFault,
    /// Whether any byte of the request was written to the socket.
    pub sent: sent::Sent,
}

impl ClientError {
    pub(super) fn unsent(fault: ClientFault) -> Self {
        Self { fault, sent: sent::Sent::Nothing }
    }
}

/// What failed at the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientFault {
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(io::ErrorKind),
    /// The connection could not be opened within the limit.
    #[error("cannot connect within the limit")]
    ConnectTimeout,
    /// The kept connection was closed by the peer, or carries bytes that belong to no request.
    #[error("the kept connection is stale")]
    Stale,
    /// The response before was not read to its end.
    #[error("the response before was not read to its end")]
    Busy,
    /// The method needs a tunnel, which this client does not open.
    #[error("the method is not supported")]
    Method,
    /// The body to send failed at its source.
    #[error("body of the request: {0}")]
    Source(body::BodyError),
    /// The request could not be written.
    #[error("cannot write the request: {0}")]
    Write(io::ErrorKind),
    /// The peer took nothing of the request within the limit.
    #[error("the peer took nothing of the request within the limit")]
    WriteTimeout,
    /// The peer closed the connection before its response.
    #[error("the peer closed the connection before its response")]
    Closed,
    /// The response could not be read.
    #[error("cannot read the response: {0}")]
    Read(io::ErrorKind),
    /// The response did not come within the limit.
    #[error("the response did not come within the limit")]
    ResponseTimeout,
    /// The head of the response is at fault.
    #[error("head of the response: {0}")]
    Head(head::HeadError),
    /// The body of the response is at fault.
    #[error("body of the response: {0}")]
    Body(body::BodyError),
}
