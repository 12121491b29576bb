use std::net;

use monoio::io::{AsyncReadRent as _, AsyncWriteRent as _, AsyncWriteRentExt as _};

use super::{RawResponse, parse_complete_responses, parse_responses, with_timeout};

const READ_BYTES: usize = 64 * 1024;

/// A raw TCP client that writes arbitrary bytes.
pub(crate) struct Peer {
    stream: monoio::net::TcpStream,
}

impl Peer {
    pub(crate) async fn connect(addr: net::SocketAddr) -> Self {
        let stream =
            with_timeout(monoio::net::TcpStream::connect_addr(addr)).await.expect("connect");
        stream.set_nodelay(true).expect("nodelay");
        Self { stream }
    }

    pub(crate) fn from_stream(stream: monoio::net::TcpStream) -> Self {
        Self { stream }
    }

    /// Writes all bytes, or as many as the other side accepts before it closes.
    pub(crate) async fn write<B>(&mut self, bytes: B)
    where
        B: Into<Vec<u8>>,
    {
        let _ = with_timeout(self.stream.write_all(bytes.into())).await;
    }

    /// Reads once; returns no bytes at the end of the connection or after an error.
    pub(crate) async fn read(&mut self) -> Vec<u8> {
        let (res, mut buf) = with_timeout(self.stream.read(Vec::with_capacity(READ_BYTES))).await;
        buf.truncate(res.unwrap_or(0));
        buf
    }

    /// Reads until `end` was received or the connection ends.
    pub(crate) async fn read_until(&mut self, end: &[u8]) -> Vec<u8> {
        let mut all = Vec::new();
        loop {
            let some = self.read().await;
            all.extend_from_slice(&some);
            if some.is_empty() || all.windows(end.len()).any(|window| window == end) {
                return all;
            }
        }
    }

    /// Reads until the other side has closed the connection.
    pub(crate) async fn read_to_end(&mut self) -> Vec<u8> {
        let mut all = Vec::new();
        loop {
            let some = self.read().await;
            if some.is_empty() {
                return all;
            }
            all.extend_from_slice(&some);
        }
    }

    /// Reads at least `count` responses, or fewer if the connection ends, and returns their bodies.
    pub(crate) async fn read_bodies(&mut self, count: usize) -> Vec<Vec<u8>> {
        let mut all = Vec::new();
        loop {
            let some = self.read().await;
            all.extend_from_slice(&some);
            let responses = parse_complete_responses(&all);
            if some.is_empty() || responses.len() >= count {
                return responses.into_iter().map(|response| response.body).collect();
            }
        }
    }

    /// Closes the sending side.
    pub(crate) async fn finish(&mut self) {
        let _ = self.stream.shutdown().await;
    }

    /// Sends bytes on a new connection and reads all responses until the server closes it.
    pub(crate) async fn exchange<B>(addr: net::SocketAddr, bytes: B) -> Vec<RawResponse>
    where
        B: Into<Vec<u8>>,
    {
        let mut peer = Self::connect(addr).await;
        peer.write(bytes).await;
        parse_responses(&peer.read_to_end().await)
    }
}

/// A raw TCP upstream that accepts connections.
pub(crate) struct Upstream {
    listener: monoio::net::TcpListener,
    pub(crate) addr: net::SocketAddr,
}

impl Upstream {
    pub(crate) fn bind() -> Self {
        let listener = monoio::net::TcpListener::bind("127.0.0.1:0").expect("bind");
        let addr = listener.local_addr().expect("address");
        Self { listener, addr }
    }

    pub(crate) async fn accept(&self) -> Peer {
        Peer::from_stream(self.accept_raw().await)
    }

    pub(crate) async fn accept_raw(&self) -> monoio::net::TcpStream {
        with_timeout(self.listener.accept()).await.expect("accept").0
    }

    /// Sends these bytes in response to the first request of one connection and closes it.
    ///
    /// The upstream closes first, so that `TIME_WAIT` occupies only its own port and no ephemeral
    /// port of a client.
    pub(crate) async fn respond<B>(&self, bytes: B)
    where
        B: Into<Vec<u8>>,
    {
        let mut peer = self.accept().await;
        peer.read_until(b"\r\n\r\n").await;
        peer.write(bytes).await;
        peer.finish().await;
        peer.read_to_end().await;
    }
}
