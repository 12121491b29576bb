use bytes::Bytes;
use http::response;

use super::{ClientError, ClientErrorKind, Connection, Sent};
use crate::body;

/// A response whose body is still to be read.
///
/// Dropping it before the end of the body leaves the connection unusable for another request.
#[derive(Debug)]
pub struct Response<'c> {
    head: response::Parts,
    body: body::Reader,
    conn: &'c mut Connection,
}

impl<'c> Response<'c> {
    pub(super) fn new(head: response::Parts, body: body::Reader, conn: &'c mut Connection) -> Self {
        Self { head, body, conn }
    }

    /// Returns the status, version and headers.
    pub fn head(&self) -> &response::Parts {
        &self.head
    }

    /// Returns the status.
    pub fn status(&self) -> http::StatusCode {
        self.head.status
    }

    /// Returns the headers.
    pub fn headers(&self) -> &http::HeaderMap {
        &self.head.headers
    }

    /// Takes the headers, for example to forward them, and leaves an empty map.
    pub fn take_headers(&mut self) -> http::HeaderMap {
        std::mem::take(&mut self.head.headers)
    }

    /// Returns the length of the body in bytes, if the head states it.
    pub fn body_length(&self) -> Option<u64> {
        self.body.length()
    }

    /// Returns whether the complete body has been read.
    pub fn is_complete(&self) -> bool {
        self.body.is_complete()
    }

    /// Reads the next piece of the body; returns `None` after the last.
    ///
    /// # Errors
    ///
    /// A [`ClientError`] when the body is cut short, malformed, too large or too slow.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, ClientError> {
        let res = self.body.chunk(&mut self.conn.socket).await;
        self.release_if_complete();
        res.map_err(body_error)
    }

    /// Reads the complete body, at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// A [`ClientError`] when the body is cut short, malformed, too large or too slow.
    pub async fn collect(&mut self, max_bytes: u64) -> Result<Bytes, ClientError> {
        let res = self.body.collect(&mut self.conn.socket, max_bytes, |_| true).await;
        self.release_if_complete();
        res.map_err(body_error)
    }

    /// Allows the next request on the connection once the body is complete.
    pub(super) fn release_if_complete(&mut self) {
        if self.body.is_complete() {
            self.conn.release();
        }
    }
}

impl body::Source for Response<'_> {
    fn length(&self) -> Option<u64> {
        self.body_length()
    }

    async fn chunk(&mut self) -> Result<Option<Bytes>, body::BodyError> {
        let res = self.body.chunk(&mut self.conn.socket).await;
        self.release_if_complete();
        res
    }
}

fn body_error(err: body::BodyError) -> ClientError {
    ClientError { kind: ClientErrorKind::Body(err), sent: Sent::Some }
}
