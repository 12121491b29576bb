use std::{io, net, rc, time};

use bytes::Bytes;
use futures_util::future;
use http::request;
use monoio::time as timer;

use super::exchange::{Exchange, ResponseState};
use super::{Refusal, Request, ServerError, Shutdown, budget};
use crate::{body, head, limits, wire};

/// Bodies up to this size are copied behind the head, so that both are sent in one write.
const MAX_COPIED_BODY_BYTES: usize = 16 * 1024;

/// Server side of a connection.
///
/// Requests are returned one at a time. Pipelined requests stay in the buffer and are answered in
/// order.
#[derive(Debug)]
pub struct Connection {
    pub(super) socket: wire::Socket,
    pub(super) limits: rc::Rc<limits::Limits>,
    pub(super) exchange: Option<Exchange>,
    shutdown: Shutdown,
    budget: budget::Budget,
    is_closed: bool,
}

impl Connection {
    /// Creates a connection from an accepted stream, with a memory budget of its own.
    pub fn new(stream: monoio::net::TcpStream, limits: limits::Limits) -> Self {
        let budget = budget::Budget::new(limits.get_max_collected_bytes());
        Self::for_listener(stream, rc::Rc::new(limits), Shutdown::new(), budget)
    }

    /// Creates a connection that shares the shutdown and the memory budget of its listener.
    pub(super) fn for_listener(
        stream: monoio::net::TcpStream,
        limits: rc::Rc<limits::Limits>,
        shutdown: Shutdown,
        budget: budget::Budget,
    ) -> Self {
        let socket = wire::Socket::new(stream);
        Self { socket, limits, exchange: None, shutdown, budget, is_closed: false }
    }

    /// Returns the address of the peer.
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub fn peer_addr(&self) -> io::Result<net::SocketAddr> {
        self.socket.peer_addr()
    }

    /// Returns the next request, or `None` when the connection has ended.
    ///
    /// If the previous request got no response, this sends one and closes the connection: a
    /// [`Refusal::Body`] if reading the body failed, otherwise [`Refusal::NoResponse`].
    ///
    /// # Errors
    ///
    /// [`ServerError::Refused`] after a refusal was sent and the connection closed;
    /// [`ServerError::UnfinishedResponse`] if the previous response was dropped before its end;
    /// [`ServerError::Io`] when the socket fails.
    pub async fn next(&mut self) -> Result<Option<Request<'_>>, ServerError> {
        self.finish_exchange().await?;
        if self.is_closed {
            return Ok(None);
        }
        match self.read_request().await {
            Ok(Some(head)) => Ok(Some(Request::new(head, self))),
            Ok(None) => {
                self.is_closed = true;
                Ok(None)
            }
            Err(ServerError::Refused(refusal)) => self.refuse(refusal).await,
            Err(err) => {
                self.is_closed = true;
                Err(err)
            }
        }
    }

    /// Sends a refusal and closes the connection.
    pub(super) async fn refuse<T>(&mut self, refusal: Refusal) -> Result<T, ServerError> {
        let body = refusal.body();
        let framing = head::OutgoingFraming::Length(body.len() as u64);
        let headers = refusal.headers();
        let mut buf = head::encode_response(refusal.status(), &headers, framing, Some("close"));
        buf.extend_from_slice(&body);
        // The write fails if the peer has disconnected; the refusal is returned in either case.
        let _ = self.write(buf.freeze()).await;
        self.close().await;
        Err(ServerError::Refused(refusal))
    }

    async fn write_response(
        &mut self,
        mut head: bytes::BytesMut,
        body: Bytes,
    ) -> Result<(), ServerError> {
        if body.len() <= MAX_COPIED_BODY_BYTES {
            head.extend_from_slice(&body);
            return self.write(head.freeze()).await;
        }
        self.write(head.freeze()).await?;
        self.write(body).await
    }

    pub(super) async fn write(&mut self, data: Bytes) -> Result<(), ServerError> {
        let res = self.socket.write_all(data, self.limits.get_write_timeout()).await;
        if res.is_err() {
            self.is_closed = true;
        }
        Ok(res?)
    }

    /// Encodes the head of the response to the request in progress.
    pub(super) fn encode_head(
        &mut self,
        status: http::StatusCode,
        headers: &http::HeaderMap,
        framing: head::OutgoingFraming,
    ) -> Result<bytes::BytesMut, ServerError> {
        let is_stopping = self.shutdown.is_begun();
        let limits = rc::Rc::clone(&self.limits);
        let exchange = self.exchange_mut()?;
        exchange.update_keep_alive(&limits);
        if is_stopping {
            exchange.is_keep_alive = false;
        }
        exchange.response_state = ResponseState::Started;
        let option = exchange.connection_option();
        Ok(head::encode_response(status, headers, framing, option))
    }

    /// Sends a complete response to the request in progress.
    pub(super) async fn respond(
        &mut self,
        status: http::StatusCode,
        headers: &http::HeaderMap,
        body: Bytes,
    ) -> Result<(), ServerError> {
        let exchange = self.exchange_mut()?;
        let framing = exchange.response_framing(status, Some(body.len() as u64))?;
        let body = if exchange.sends_body(status) { body } else { Bytes::new() };
        let buf =
            self.encode_head(status, headers, framing.unwrap_or(head::OutgoingFraming::Empty))?;
        self.write_response(buf, body).await?;
        self.exchange_mut()?.response_state = ResponseState::Complete;
        Ok(())
    }

    pub(super) fn exchange_mut(&mut self) -> Result<&mut Exchange, ServerError> {
        self.exchange.as_mut().ok_or(ServerError::UnfinishedResponse)
    }

    /// Sends `100 Continue` once if the sender waits for it and no byte of the body has arrived.
    pub(super) async fn send_continue(&mut self) -> Result<(), body::BodyError> {
        let Some(exchange) = &mut self.exchange else {
            return Ok(());
        };
        if !std::mem::take(&mut exchange.is_continue_pending) || !self.socket.is_empty() {
            return Ok(());
        }
        let interim = Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n");
        let res = self.socket.write_all(interim, self.limits.get_write_timeout()).await;
        res.map_err(body::BodyError::from)
    }

    /// Ends the previous exchange and prepares the connection for the next head.
    async fn finish_exchange(&mut self) -> Result<(), ServerError> {
        let Some(mut exchange) = self.exchange.take() else {
            return Ok(());
        };
        match exchange.response_state {
            ResponseState::NotStarted => self.refuse_unanswered(&exchange).await,
            ResponseState::Started => {
                self.is_closed = true;
                Err(ServerError::UnfinishedResponse)
            }
            ResponseState::Complete if self.is_closed => Ok(()),
            ResponseState::Complete => {
                if !exchange.is_keep_alive || !self.drain(&mut exchange.body).await {
                    self.close().await;
                }
                Ok(())
            }
        }
    }

    async fn refuse_unanswered(&mut self, exchange: &Exchange) -> Result<(), ServerError> {
        if self.is_closed {
            return Ok(());
        }
        let refusal = exchange.body.error().map_or(Refusal::NoResponse, Refusal::Body);
        self.refuse(refusal).await
    }

    /// Discards the rest of a body; returns false if it is too large or malformed.
    async fn drain(&mut self, body: &mut body::Reader) -> bool {
        let mut discarded = 0;
        while discarded <= self.limits.get_max_drain_bytes() {
            match body.chunk(&mut self.socket).await {
                Ok(Some(data)) => discarded += data.len(),
                Ok(None) => return true,
                Err(_) => return false,
            }
        }
        false
    }

    /// Closes the connection after the peer has had time to read the last response.
    async fn close(&mut self) {
        self.is_closed = true;
        let limits = &self.limits;
        self.socket
            .lingering_close(limits.get_max_drain_bytes(), limits.get_linger_timeout())
            .await;
    }

    async fn read_request(&mut self) -> Result<Option<request::Parts>, ServerError> {
        if !self.wait_for_request().await? {
            return Ok(None);
        }
        let Some(head) = self.read_head().await? else {
            return Ok(None);
        };
        let exchange = Exchange::new(&head, &self.limits, self.budget.reservation())
            .map_err(ServerError::Refused)?;
        self.exchange = Some(exchange);
        Ok(Some(head))
    }

    /// Waits for the first byte of a request; returns false at the idle timeout or at shutdown.
    async fn wait_for_request(&mut self) -> Result<bool, ServerError> {
        if !self.socket.is_empty() {
            // A caller that pipelines many requests must not block other connections.
            wire::yield_now().await;
            return Ok(true);
        }
        let limit = self.limits.get_idle_timeout();
        let readable = std::pin::pin!(timer::timeout(limit, self.socket.wait_readable()));
        let stop = std::pin::pin!(self.shutdown.begun());
        match future::select(readable, stop).await {
            future::Either::Left((Ok(res), _)) => {
                res?;
                Ok(true)
            }
            future::Either::Left((Err(_), _)) | future::Either::Right(_) => Ok(false),
        }
    }

    async fn read_head(&mut self) -> Result<Option<request::Parts>, ServerError> {
        let limit = self.limits.get_head_timeout();
        let began = time::Instant::now();
        let mut scan =
            head::Scan::new(self.limits.get_max_head_bytes(), self.limits.get_max_headers());
        loop {
            if let Some(raw) = take_head(&mut scan, self.socket.buf()).map_err(head_refusal)? {
                return head::decode_request(raw).map(Some).map_err(head_refusal);
            }
            let left = limit.saturating_sub(began.elapsed());
            match self.socket.fill_within(left).await {
                Ok(0) if scan.is_start() => return Ok(None),
                Ok(0) => return Err(head_refusal(head::HeadError::CutShort)),
                Ok(_) => {}
                Err(wire::WireError::TimedOut) => {
                    return Err(ServerError::Refused(Refusal::HeadTimeout));
                }
                Err(wire::WireError::Io(err)) => return Err(err.into()),
            }
        }
    }
}

fn take_head(
    scan: &mut head::Scan,
    buf: &mut bytes::BytesMut,
) -> Result<Option<bytes::BytesMut>, head::HeadError> {
    scan.skip_empty_lines(buf)?;
    Ok(scan.advance(buf)?.map(|end| buf.split_to(end)))
}

fn head_refusal(err: head::HeadError) -> ServerError {
    ServerError::Refused(Refusal::Head(err))
}
