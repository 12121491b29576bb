use std::{io, net, time};

use bytes::Buf as _;
use monoio::io::{AsyncReadRent as _, AsyncWriteRent as _};
use monoio::time as timer;

use super::{WireError, now_or_never, progress, yield_now};

/// Reads after which the other tasks get their turn, however fast the peer sends.
const READS_PER_TURN: u32 = 16;

const READ_BYTES: usize = 16 * 1024;

/// Room for a read after one that filled its room.
const BULK_READ_BYTES: usize = 64 * 1024;

/// Part of the room for a read that must be left, else more is made.
const MIN_SPARE_PART: usize = 4;

/// Time for which a silent connection keeps its empty buffer.
const KEPT_BUFFER_TIME: time::Duration = time::Duration::from_secs(1);

/// A TCP stream with the bytes that were read and not yet consumed.
///
/// Dropping one of its futures loses no byte: the buffer stays here while its spare capacity is
/// lent to the read.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: monoio::net::TcpStream,
    buf: bytes::BytesMut,
    is_eof: bool,
    written: u64,
    received: u64,
    reads: u32,
    is_bulk: bool,
}

impl Socket {
    pub(crate) fn new(stream: monoio::net::TcpStream) -> Self {
        // Latency only: a stream without the option still works.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: bytes::BytesMut::new(),
            is_eof: false,
            written: 0,
            received: 0,
            reads: 0,
            is_bulk: false,
        }
    }

    /// Address of the peer.
    pub(crate) fn peer_addr(&self) -> io::Result<net::SocketAddr> {
        self.stream.peer_addr()
    }

    /// Bytes that were read and not yet consumed.
    pub(crate) fn buf(&mut self) -> &mut bytes::BytesMut {
        &mut self.buf
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    pub(crate) fn is_eof(&self) -> bool {
        self.is_eof
    }

    /// Bytes written since the socket was opened.
    pub(crate) fn written(&self) -> u64 {
        self.written
    }

    /// Bytes read since the socket was opened.
    pub(crate) fn received(&self) -> u64 {
        self.received
    }

    /// Reads once into the buffer; 0 at the end of the stream.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        if self.is_eof {
            return Ok(0);
        }
        self.take_turn().await;
        let room = if self.is_bulk { BULK_READ_BYTES } else { READ_BYTES };
        if self.buf.capacity() - self.buf.len() < room / MIN_SPARE_PART {
            self.buf.reserve(room);
        }
        let spare = self.buf.split_off(self.buf.len());
        let spare_bytes = spare.capacity();
        let (res, spare) = self.stream.read(spare).await;
        self.buf.unsplit(spare);
        let count = res?;
        self.is_eof = count == 0;
        self.received += count as u64;
        self.is_bulk = count == spare_bytes;
        Ok(count)
    }

    async fn take_turn(&mut self) {
        self.reads += 1;
        if self.reads == READS_PER_TURN {
            self.reads = 0;
            yield_now().await;
        }
    }

    /// Reads once, for at most `limit`.
    pub(crate) async fn fill_within(&mut self, limit: time::Duration) -> Result<usize, WireError> {
        match timer::timeout(limit, self.fill()).await {
            Ok(res) => Ok(res?),
            Err(_) => Err(WireError::TimedOut),
        }
    }

    /// Reads once, for at most the time that `progress` leaves.
    pub(crate) async fn fill_with_progress(
        &mut self,
        progress: &mut progress::Progress,
    ) -> Result<usize, WireError> {
        let began = time::Instant::now();
        let count = self.fill_within(progress.left()).await?;
        progress.note(count, began.elapsed());
        Ok(count)
    }

    /// Waits until there is something in the buffer or to read.
    ///
    /// A wait that lasts holds no buffer, so that idle connections cost little memory.
    pub(crate) async fn wait_readable(&mut self) -> io::Result<()> {
        if self.is_eof || !self.buf.is_empty() {
            return Ok(());
        }
        if let Ok(res) = timer::timeout(KEPT_BUFFER_TIME, self.fill()).await {
            return res.map(drop);
        }
        self.buf = bytes::BytesMut::new();
        self.stream.readable(false).await
    }

    /// Whether the peer has sent something or closed, without waiting.
    pub(crate) async fn is_readable(&self) -> bool {
        if self.is_eof || !self.buf.is_empty() {
            return true;
        }
        now_or_never(self.stream.readable(false)).await.is_some()
    }

    /// Writes everything; the peer must take some bytes within each `limit`.
    pub(crate) async fn write_all(
        &mut self,
        mut data: bytes::Bytes,
        limit: time::Duration,
    ) -> Result<(), WireError> {
        while data.has_remaining() {
            let written = timer::timeout(limit, self.stream.write(data.clone())).await;
            let Ok((res, _)) = written else {
                return Err(WireError::TimedOut);
            };
            let count = res?;
            if count == 0 {
                return Err(WireError::Io(io::ErrorKind::WriteZero.into()));
            }
            self.written += count as u64;
            data.advance(count);
        }
        Ok(())
    }

    /// Closes the sending side, then discards what the peer still sends, so that it can read the
    /// last answer before the connection is reset.
    pub(crate) async fn linger(&mut self, max_bytes: usize, limit: time::Duration) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let _ = timer::timeout(limit, self.discard(max_bytes)).await;
    }

    async fn discard(&mut self, max_bytes: usize) {
        let mut discarded = self.buf.len();
        self.buf.clear();
        while discarded < max_bytes {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(count) => discarded += count,
            }
            self.buf.clear();
        }
    }
}
