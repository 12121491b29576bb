use std::{io, net, time};

use bytes::{Bytes, BytesMut};
use http::{request, response};
use monoio::time as timer;

use super::{ClientError, ClientErrorKind, Response, Sent, Traffic};
use crate::{body, head, hop, limits, wire};

const MAX_INTERIM_RESPONSES: usize = 8;

/// Pieces of a body up to this size are copied behind the bytes that precede them, so that both
/// are sent in one write.
const MAX_COPIED_BODY_BYTES: usize = 16 * 1024;

/// Client side of a connection, which sends one request at a time.
#[derive(Debug)]
pub struct Connection {
    pub(super) socket: wire::Socket,
    pub(super) limits: limits::Limits,
    host: String,
    written_at_start: u64,
    is_busy: bool,
    is_keep_alive: bool,
}

impl Connection {
    /// Opens a connection within `timeout`.
    ///
    /// # Errors
    ///
    /// A [`ClientError`] with [`Sent::Nothing`] when the connection cannot be opened in time.
    pub async fn connect(
        addr: net::SocketAddr,
        limits: limits::Limits,
        timeout: time::Duration,
    ) -> Result<Self, ClientError> {
        let connecting = monoio::net::TcpStream::connect_addr(addr);
        let kind = match timer::timeout(timeout, connecting).await {
            Ok(Ok(stream)) => return Ok(Self::new(stream, addr, limits)),
            Ok(Err(err)) => ClientErrorKind::Connect(err.kind()),
            Err(_) => ClientErrorKind::ConnectTimeout,
        };
        Err(ClientError::unsent(kind))
    }

    fn new(stream: monoio::net::TcpStream, addr: net::SocketAddr, limits: limits::Limits) -> Self {
        Self {
            socket: wire::Socket::new(stream),
            limits,
            host: addr.to_string(),
            written_at_start: 0,
            is_busy: false,
            is_keep_alive: true,
        }
    }

    /// Returns whether any byte of the latest request was written. This also covers a
    /// [`Connection::send`] whose future was dropped before it completed.
    pub fn sent(&self) -> Sent {
        if self.socket.written() == self.written_at_start { Sent::Nothing } else { Sent::Some }
    }

    /// Returns the number of bytes sent and received on this connection.
    pub fn traffic(&self) -> Traffic {
        Traffic { sent: self.socket.written(), received: self.socket.received() }
    }

    /// Returns whether another request may be sent: the previous response was read to its end and
    /// the connection is kept alive.
    pub fn is_reusable(&self) -> bool {
        !self.is_busy && self.is_keep_alive && self.socket.is_empty() && !self.socket.is_eof()
    }

    /// Returns whether the connection is unusable for another request, also because the peer has
    /// closed it or has sent bytes that belong to no request; does not wait.
    pub async fn is_stale(&self) -> bool {
        !self.is_reusable() || self.socket.is_readable().await
    }

    /// Sends a request and reads the head of its response.
    ///
    /// `Host` defaults to the address of the peer. Framing and connection headers are set here;
    /// those in `head` are ignored.
    ///
    /// # Errors
    ///
    /// A [`ClientError`], which says whether any byte of the request was written.
    pub async fn send<S>(
        &mut self,
        head: &request::Parts,
        body: S,
    ) -> Result<Response<'_>, ClientError>
    where
        S: body::Source,
    {
        self.begin_request(head).await?;
        match self.write_request(head, body).await {
            Ok(()) => {}
            Err(kind) if self.may_have_response(kind).await => self.is_keep_alive = false,
            Err(kind) => return Err(self.fail(kind)),
        }
        let (head, framing) = match self.read_response(&head.method).await {
            Ok(response) => response,
            Err(kind) => return Err(self.fail(kind)),
        };
        let reader = body::Reader::new(framing, &self.limits);
        let mut response = Response::new(head, reader, self);
        response.release_if_complete();
        Ok(response)
    }

    /// Allows the next request, after the response was read to its end.
    pub(super) fn release(&mut self) {
        self.is_busy = false;
    }

    /// Checks, before any byte is written, that a request may be sent, and marks the connection as
    /// busy.
    async fn begin_request(&mut self, head: &request::Parts) -> Result<(), ClientError> {
        self.written_at_start = self.socket.written();
        if self.is_busy {
            return Err(ClientError::unsent(ClientErrorKind::Busy));
        }
        if head.method == http::Method::CONNECT {
            return Err(ClientError::unsent(ClientErrorKind::Method));
        }
        if self.is_stale().await {
            self.is_keep_alive = false;
            return Err(ClientError::unsent(ClientErrorKind::Stale));
        }
        self.is_busy = true;
        Ok(())
    }

    /// Returns whether the peer may have responded to a request that it did not read completely.
    async fn may_have_response(&self, kind: ClientErrorKind) -> bool {
        match kind {
            ClientErrorKind::Write(_) => self.sent() == Sent::Some,
            ClientErrorKind::WriteTimeout => self.socket.is_readable().await,
            _ => false,
        }
    }

    fn fail(&mut self, kind: ClientErrorKind) -> ClientError {
        self.is_keep_alive = false;
        ClientError { kind, sent: self.sent() }
    }

    async fn write_request<S>(
        &mut self,
        head: &request::Parts,
        mut body: S,
    ) -> Result<(), ClientErrorKind>
    where
        S: body::Source,
    {
        let framing = request_framing(&head.method, body.length());
        let mut buf = self.encode(head, framing);
        let mut left = body.length();
        while let Some(data) = body.chunk().await.map_err(ClientErrorKind::Source)? {
            left = subtract_sent(left, data.len())?;
            let data = if framing == head::OutgoingFraming::Chunked {
                body::encode_chunk(&data)
            } else {
                data
            };
            if data.len() <= MAX_COPIED_BODY_BYTES {
                buf.extend_from_slice(&data);
            }
            self.write(std::mem::take(&mut buf).freeze()).await?;
            if data.len() > MAX_COPIED_BODY_BYTES {
                self.write(data).await?;
            }
        }
        if left.is_some_and(|left| left > 0) {
            return Err(ClientErrorKind::Source(body::BodyError::WrongLength));
        }
        if framing == head::OutgoingFraming::Chunked {
            buf.extend_from_slice(body::LAST_CHUNK);
        }
        self.write(buf.freeze()).await
    }

    fn encode(&self, head: &request::Parts, framing: head::OutgoingFraming) -> BytesMut {
        let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
        head::encode_request(&head.method, target, &self.host, &head.headers, framing)
    }

    async fn write(&mut self, data: Bytes) -> Result<(), ClientErrorKind> {
        let res = self.socket.write_all(data, self.limits.get_write_timeout()).await;
        res.map_err(|err| match err {
            wire::WireError::TimedOut => ClientErrorKind::WriteTimeout,
            wire::WireError::Io(err) => ClientErrorKind::Write(err.kind()),
        })
    }

    async fn read_response(
        &mut self,
        method: &http::Method,
    ) -> Result<(response::Parts, head::Framing), ClientErrorKind> {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let head = self.read_head().await?;
            if head.status == http::StatusCode::SWITCHING_PROTOCOLS {
                return Err(ClientErrorKind::Head(head::HeadError::Upgrade));
            }
            if head.status.is_informational() {
                continue;
            }
            let framing = head::response_framing(&head, method).map_err(ClientErrorKind::Head)?;
            self.is_keep_alive &= is_keep_alive(&head);
            return Ok((head, framing));
        }
        Err(ClientErrorKind::Head(head::HeadError::TooManyInterim))
    }

    async fn read_head(&mut self) -> Result<response::Parts, ClientErrorKind> {
        let mut scan =
            head::Scan::new(self.limits.get_max_head_bytes(), self.limits.get_max_headers());
        let mut limit = self.limits.get_response_timeout();
        let mut began = time::Instant::now();
        loop {
            let buf = self.socket.buf();
            if let Some(end) = scan.advance(buf).map_err(ClientErrorKind::Head)? {
                let raw = buf.split_to(end);
                return head::decode_response(raw).map_err(ClientErrorKind::Head);
            }
            let is_start = scan.is_start();
            let left = limit.saturating_sub(began.elapsed());
            let count = self.socket.fill_within(left).await.map_err(read_error)?;
            match (count, is_start) {
                (0, true) => return Err(ClientErrorKind::Closed),
                (0, false) => return Err(ClientErrorKind::Head(head::HeadError::CutShort)),
                (_, true) => {
                    limit = self.limits.get_head_timeout();
                    began = time::Instant::now();
                }
                (_, false) => {}
            }
        }
    }
}

/// Returns the framing of a request body, given its length if that is known.
fn request_framing(method: &http::Method, length: Option<u64>) -> head::OutgoingFraming {
    let expects_body =
        [http::Method::POST, http::Method::PUT, http::Method::PATCH].contains(method);
    match length {
        Some(0) if !expects_body => head::OutgoingFraming::Empty,
        Some(length) => head::OutgoingFraming::Length(length),
        None => head::OutgoingFraming::Chunked,
    }
}

/// Subtracts the size of a piece from the number of bytes left, if a length was stated.
fn subtract_sent(left: Option<u64>, bytes: usize) -> Result<Option<u64>, ClientErrorKind> {
    let Some(left) = left else {
        return Ok(None);
    };
    match left.checked_sub(bytes as u64) {
        Some(left) => Ok(Some(left)),
        None => Err(ClientErrorKind::Source(body::BodyError::WrongLength)),
    }
}

/// Returns whether the peer keeps the connection open after this response.
fn is_keep_alive(head: &response::Parts) -> bool {
    if hop::has_connection_option(&head.headers, "close") {
        return false;
    }
    head.version == http::Version::HTTP_11
        || hop::has_connection_option(&head.headers, "keep-alive")
}

fn read_error(err: wire::WireError) -> ClientErrorKind {
    match err {
        wire::WireError::TimedOut => ClientErrorKind::ResponseTimeout,
        wire::WireError::Io(err) if err.kind() == io::ErrorKind::ConnectionReset => {
            ClientErrorKind::Closed
        }
        wire::WireError::Io(err) => ClientErrorKind::Read(err.kind()),
    }
}
