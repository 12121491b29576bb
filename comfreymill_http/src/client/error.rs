use std::io;

use super::sent;
use crate::{body, head};

/// Failure of a request, with whether any byte of it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind} ({sent})")]
pub struct ClientError {
    /// Reason of the failure.
    pub kind: ClientErrorKind,
    /// Whether any byte of the request was written to the socket.
    pub sent: sent::Sent,
}

impl ClientError {
    pub(super) fn unsent(kind: ClientErrorKind) -> Self {
        Self { kind, sent: sent::Sent::Nothing }
    }
}

/// Reason why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientErrorKind {
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(io::ErrorKind),
    /// The connection could not be opened within the timeout.
    #[error("cannot connect within the timeout")]
    ConnectTimeout,
    /// The peer has closed the connection before the request, or has sent bytes that belong to no
    /// request.
    #[error("the connection is no longer usable")]
    Stale,
    /// The previous response was not read to its end.
    #[error("the previous response was not read to its end")]
    Busy,
    /// The method is `CONNECT`; this client opens no tunnels.
    #[error("the method CONNECT is not supported")]
    Method,
    /// The source of the request body failed.
    #[error("request body: {0}")]
    Source(body::BodyError),
    /// The request could not be written.
    #[error("cannot write the request: {0}")]
    Write(io::ErrorKind),
    /// The peer accepted no bytes of the request within the write timeout.
    #[error("the peer accepted no bytes of the request within the write timeout")]
    WriteTimeout,
    /// The peer closed the connection before it sent a response.
    #[error("the peer closed the connection before it sent a response")]
    Closed,
    /// The response could not be read.
    #[error("cannot read the response: {0}")]
    Read(io::ErrorKind),
    /// The head of the response did not arrive in time, or [`super::request`] did not complete in
    /// time.
    #[error("the response did not arrive within the timeout")]
    ResponseTimeout,
    /// The head of the response is invalid or exceeds a limit.
    #[error("response head: {0}")]
    Head(head::HeadError),
    /// The body of the response is invalid, exceeds a limit or was cut short.
    #[error("response body: {0}")]
    Body(body::BodyError),
}
