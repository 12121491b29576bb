use std::{future, io, net};

use bytes::Bytes;
use http::request;

use super::exchange::Exchange;
use super::{Connection, Refusal, ResponseWriter, ServerError};
use crate::{body, head};

/// A request in progress, answered with [`Request::respond`] or [`Request::start_response`].
#[derive(Debug)]
pub struct Request<'c> {
    head: request::Parts,
    conn: &'c mut Connection,
}

impl<'c> Request<'c> {
    pub(super) fn new(head: request::Parts, conn: &'c mut Connection) -> Self {
        Self { head, conn }
    }

    /// Returns the method, target, version and headers.
    pub fn head(&self) -> &request::Parts {
        &self.head
    }

    /// Returns the method.
    pub fn method(&self) -> &http::Method {
        &self.head.method
    }

    /// Returns the request target.
    pub fn uri(&self) -> &http::Uri {
        &self.head.uri
    }

    /// Returns the headers.
    pub fn headers(&self) -> &http::HeaderMap {
        &self.head.headers
    }

    /// Takes the headers, for example to forward them, and leaves an empty map.
    pub fn take_headers(&mut self) -> http::HeaderMap {
        std::mem::take(&mut self.head.headers)
    }

    /// Returns the address of the peer.
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub fn peer_addr(&self) -> io::Result<net::SocketAddr> {
        self.conn.peer_addr()
    }

    /// Returns the length of the body in bytes, if the head states it.
    pub fn body_length(&self) -> Option<u64> {
        self.conn.exchange.as_ref().and_then(|exchange| exchange.body.length())
    }

    /// Reads the next piece of the body; returns `None` after the last.
    ///
    /// # Errors
    ///
    /// A [`body::BodyError`]; the connection sends it as a [`Refusal::Body`] if the handler sends
    /// no response of its own.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, body::BodyError> {
        self.conn.send_continue().await?;
        match &mut self.conn.exchange {
            Some(exchange) => exchange.body.chunk(&mut self.conn.socket).await,
            None => Ok(None),
        }
    }

    /// Reads the whole body, at most `max_bytes`.
    ///
    /// The body counts towards the memory limit of collected bodies until the exchange has ended.
    ///
    /// # Errors
    ///
    /// A [`body::BodyError`]; the connection sends it as a [`Refusal::Body`] if the handler sends
    /// no response of its own.
    pub async fn collect(&mut self, max_bytes: u64) -> Result<Bytes, body::BodyError> {
        if self.body_length().is_none_or(|length| length <= max_bytes) {
            self.conn.send_continue().await?;
        }
        match &mut self.conn.exchange {
            Some(exchange) => {
                let Exchange { body, reservation, .. } = exchange;
                body.collect(&mut self.conn.socket, max_bytes, |bytes| {
                    reservation.try_reserve(bytes)
                })
                .await
            }
            None => Ok(Bytes::new()),
        }
    }

    /// Waits until the caller closes its sending side or the socket fails.
    ///
    /// Bytes that arrive meanwhile are buffered, up to the size limit of a head; once it is
    /// reached, the returned future never completes.
    pub async fn closed(&mut self) {
        let max_bytes = self.conn.limits.get_max_head_bytes();
        while self.conn.socket.buf().len() < max_bytes {
            match self.conn.socket.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        future::pending::<()>().await;
    }

    /// Sends a complete response.
    ///
    /// Framing and connection headers are set here; those in `headers` are ignored.
    ///
    /// # Errors
    ///
    /// A [`ServerError`] when the status is an interim one or the caller did not accept the whole
    /// response.
    pub async fn respond(
        self,
        status: http::StatusCode,
        headers: &http::HeaderMap,
        body: Bytes,
    ) -> Result<(), ServerError> {
        self.conn.respond(status, headers, body).await
    }

    /// Sends the head of a response whose body follows in pieces.
    ///
    /// With a `length` the body must have exactly that many bytes, otherwise it is sent in chunks.
    /// HTTP/1.0 has no chunked coding, so for such a caller the body is buffered, up to the size
    /// limit of a body, and sent with its length: a body that ends with the connection could not
    /// be distinguished from one that is cut short.
    ///
    /// # Errors
    ///
    /// A [`ServerError`] when the status is an interim one or the caller did not accept the head.
    pub async fn start_response(
        self,
        status: http::StatusCode,
        headers: &http::HeaderMap,
        length: Option<u64>,
    ) -> Result<ResponseWriter<'c>, ServerError> {
        let exchange = self.conn.exchange_mut()?;
        let sends_body = exchange.sends_body(status);
        let Some(framing) = exchange.response_framing(status, length)? else {
            return Ok(ResponseWriter::buffered(self.conn, status, headers.clone()));
        };
        let buf = self.conn.encode_head(status, headers, framing)?;
        self.conn.write(buf.freeze()).await?;
        Ok(ResponseWriter::streamed(
            self.conn,
            if sends_body { framing } else { head::OutgoingFraming::Empty },
        ))
    }

    /// Sends a refusal and keeps the connection open where possible.
    ///
    /// # Errors
    ///
    /// A [`ServerError`] when the caller did not accept it.
    pub async fn refuse(self, refusal: Refusal) -> Result<(), ServerError> {
        self.respond(refusal.status(), &refusal.headers(), refusal.body()).await
    }
}

impl body::Source for Request<'_> {
    fn length(&self) -> Option<u64> {
        self.body_length()
    }

    async fn chunk(&mut self) -> Result<Option<Bytes>, body::BodyError> {
        Request::chunk(self).await
    }
}
