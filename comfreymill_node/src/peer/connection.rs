use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt as _};
use monoio::io::{OwnedReadHalf, OwnedWriteHalf, Splitable as _};
use monoio::net::TcpStream;
use monoio_compat::StreamWrapper;
use prost::Message as _;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use super::handshake::{self, Side};
use super::traffic::Traffic;
use super::{Frame, Hello, Identity, PeerError};

const MAX_FRAME_BYTES: usize = 8 << 20;
const LENGTH_PREFIX_BYTES: usize = 4;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Connection to a peer that has proved to hold the cluster key.
#[derive(Debug)]
pub struct Connection {
    /// Hello of the peer, which identifies it.
    pub peer: Hello,
    /// Reads the frames that the peer sends.
    pub reader: FrameReader,
    /// Writes frames to the peer.
    pub writer: FrameWriter,
}

/// Reads the frames that a peer sends.
pub struct FrameReader {
    frames: FramedRead<StreamWrapper<OwnedReadHalf<TcpStream>>, LengthDelimitedCodec>,
    traffic: Option<Traffic>,
}

/// Writes frames to a peer.
pub struct FrameWriter {
    frames: FramedWrite<StreamWrapper<OwnedWriteHalf<TcpStream>>, LengthDelimitedCodec>,
    traffic: Option<Traffic>,
}

impl Connection {
    /// Opens a connection and performs the handshake.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached in time or is refused.
    pub async fn connect(
        address: SocketAddr,
        identity: &Identity,
        timeout: Duration,
    ) -> Result<Self, PeerError> {
        let connect = TcpStream::connect_addr(address);
        let stream =
            monoio::time::timeout(timeout, connect).await.map_err(|_| PeerError::TimedOut)??;
        Self::perform_handshake(stream, Side::Connector, identity).await
    }

    /// Performs the handshake on a connection that a peer opened.
    ///
    /// # Errors
    ///
    /// Fails if the peer is refused or too slow.
    pub async fn accept(stream: TcpStream, identity: &Identity) -> Result<Self, PeerError> {
        Self::perform_handshake(stream, Side::Acceptor, identity).await
    }

    async fn perform_handshake(
        stream: TcpStream,
        side: Side,
        identity: &Identity,
    ) -> Result<Self, PeerError> {
        stream.set_nodelay(true)?;
        let (read, write) = stream.into_split();
        let frames = FramedRead::new(StreamWrapper::new(read), codec());
        let mut reader = FrameReader { frames, traffic: None };
        let frames = FramedWrite::new(StreamWrapper::new(write), codec());
        let mut writer = FrameWriter { frames, traffic: None };
        let handshake = handshake::perform(side, identity, &mut reader, &mut writer);
        let peer = monoio::time::timeout(HANDSHAKE_TIMEOUT, handshake)
            .await
            .map_err(|_| PeerError::TimedOut)??;
        // Counters are created only for a peer that has proved to hold the key.
        reader.traffic = Some(Traffic::received(&identity.hello, &peer));
        writer.traffic = Some(Traffic::sent(&identity.hello, &peer));
        Ok(Self { peer, reader, writer })
    }
}

impl FrameReader {
    /// Reads the next frame.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended or the frame is malformed.
    pub async fn next(&mut self) -> Result<Frame, PeerError> {
        let buf = self.frames.next().await.ok_or(PeerError::Closed)??;
        count(self.traffic.as_ref(), buf.len());
        Frame::decode(buf.freeze()).map_err(|error| PeerError::Malformed(error.to_string()))
    }

    /// Reads the next frame and gives up when none arrives within `limit`.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended, the frame is malformed, or none arrives within `limit`.
    pub async fn next_within(&mut self, limit: Duration) -> Result<Frame, PeerError> {
        monoio::time::timeout(limit, self.next()).await.map_err(|_| PeerError::TimedOut)?
    }
}

impl FrameWriter {
    /// Sends a frame and waits until it is written to the socket.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn send(&mut self, frame: Frame) -> Result<(), PeerError> {
        let buf = Bytes::from(frame.encode_to_vec());
        count(self.traffic.as_ref(), buf.len());
        self.frames.send(buf).await.map_err(PeerError::from)
    }

    /// Appends a frame to the buffer; [`FrameWriter::flush`] sends it.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn feed(&mut self, frame: Frame) -> Result<(), PeerError> {
        let buf = Bytes::from(frame.encode_to_vec());
        count(self.traffic.as_ref(), buf.len());
        self.frames.feed(buf).await.map_err(PeerError::from)
    }

    /// Sends the frames in the buffer.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn flush(&mut self) -> Result<(), PeerError> {
        SinkExt::<Bytes>::flush(&mut self.frames).await.map_err(PeerError::from)
    }
}

impl fmt::Debug for FrameReader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FrameReader")
    }
}

impl fmt::Debug for FrameWriter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FrameWriter")
    }
}

fn count(traffic: Option<&Traffic>, frame_bytes: usize) {
    if let Some(traffic) = traffic {
        traffic.count(LENGTH_PREFIX_BYTES + frame_bytes);
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
