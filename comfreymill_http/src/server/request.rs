use std::{future, io, net};

use bytes::Bytes;
use http::request;

use super::exchange::Exchange;
use super::{Answer, Connection, Refusal, ServerError};
use crate::{body, head};

/// A request in progress; it is answered by [`Request::respond`] or [`Request::start`].
#[derive(Debug)]
pub struct Request<'c> {
    head: request::Parts,
    conn: &'c mut Connection,
}

impl<'c> Request<'c> {
    pub(super) fn new(head: request::Parts, conn: &'c mut Connection) -> Self {
        Self { head, conn }
    }

    /// Method, target, version and headers.
    pub fn head(&self) -> &request::Parts {
        &self.head
    }

    /// Method.
    pub fn method(&self) -> &http::Method {
        &self.head.method
    }

    /// Target.
    pub fn uri(&self) -> &http::Uri {
        &self.head.uri
    }

    /// Headers.
    pub fn headers(&self) -> &http::HeaderMap {
        &self.head.headers
    }

    /// Headers, to be passed on; they are empty here afterwards.
    pub fn take_headers(&mut self) -> http::HeaderMap {
        std::mem::take(&mut self.head.headers)
    }

    /// Address of the peer.
    ///
    /// # Errors
    ///
    /// The socket's error.
    pub fn peer_addr(&self) -> io::Result<net::SocketAddr> {
        self.conn.peer_addr()
    }

    /// Length of the body in bytes, if the head stated it.
    pub fn body_length(&self) -> Option<u64> {
        self.conn.exchange.as_ref().and_then(|exchange| exchange.body.length())
    }

    /// The next piece of the body, or `None` after the last.
    ///
    /// # Errors
    ///
    /// A [`body::BodyError`]; if no answer is given afterwards, the connection answers for it.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, body::BodyError> {
        self.conn.send_continue().await?;
        match &mut self.conn.exchange {
            Some(exchange) => exchange.body.chunk(&mut self.conn.socket).await,
            None => Ok(None),
        }
    }

    /// The whole body, of at most `max_bytes`.
    ///
    /// It counts against the memory for collected bodies until the request is answered.
    ///
    /// # Errors
    ///
    /// A [`body::BodyError`]; if no answer is given afterwards, the connection answers for it.
    pub async fn collect(&mut self, max_bytes: u64) -> Result<Bytes, body::BodyError> {
        if self.body_length().is_none_or(|length| length <= max_bytes) {
            self.conn.send_continue().await?;
        }
        match &mut self.conn.exchange {
            Some(exchange) => {
                let Exchange { body, share, .. } = exchange;
                body.collect(&mut self.conn.socket, max_bytes, |bytes| share.take(bytes)).await
            }
            None => Ok(Bytes::new()),
        }
    }

    /// Waits until the caller has closed its side, or the socket failed.
    ///
    /// Bytes that arrive meanwhile are kept, up to the limit of a head; beyond it this waits for
    /// ever. A caller that closes only its sending side counts as gone.
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

    /// Sends the whole answer.
    ///
    /// Headers on framing and on the connection are set here and ignored in `headers`.
    ///
    /// # Errors
    ///
    /// A [`ServerError`] when the caller did not take all of it.
    pub async fn respond(
        self,
        status: http::StatusCode,
        headers: &http::HeaderMap,
        body: Bytes,
    ) -> Result<(), ServerError> {
        self.conn.respond(status, headers, body).await
    }

    /// Sends the head of an answer whose body follows piece by piece.
    ///
    /// With a `length` the body has exactly that many bytes, else it is sent in chunks. For a
    /// caller of HTTP/1.0, which knows no chunks, it is collected first, up to the limit of a
    /// body, since the end of the connection would not tell a whole body from a part.
    ///
    /// # Errors
    ///
    /// A [`ServerError`] when the caller did not take it.
    pub async fn start(
        self,
        status: http::StatusCode,
        headers: &http::HeaderMap,
        length: Option<u64>,
    ) -> Result<Answer<'c>, ServerError> {
        let exchange = self.conn.exchange_mut()?;
        let sends_body = exchange.sends_body(status);
        let Some(framed) = exchange.frame_answer(status, length)? else {
            return Ok(Answer::collected(self.conn, status, headers.clone()));
        };
        let buf = self.conn.encode_head(status, headers, framed)?;
        self.conn.write(buf.freeze()).await?;
        Ok(Answer::streamed(self.conn, if sends_body { framed } else { head::Framed::Empty }))
    }

    /// Answers with a refusal; the connection stays open where it can.
    ///
    /// # Errors
    ///
    /// A [`ServerError`] when the caller did not take it.
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
