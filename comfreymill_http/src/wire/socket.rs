use std::{io, net, time};

use bytes::Buf as _;
use monoio::io::{AsyncReadRent as _, AsyncWriteRent as _};
use monoio::time as timer;

use super::{WireError, now_or_never, progress, yield_now};

/// Number of reads after which a socket yields to the other tasks, so that a fast sender does not
/// starve them.
const READS_PER_YIELD: u32 = 16;

/// Buffer capacity requested for a read.
const READ_BYTES: usize = 16 * 1024;

/// Buffer capacity requested for a read that follows one which filled the buffer.
const BULK_READ_BYTES: usize = 64 * 1024;

/// The buffer grows when its spare capacity is below the requested capacity divided by this.
const MIN_SPARE_DIVISOR: usize = 4;

/// Time after which a connection that receives nothing frees its empty buffer.
const BUFFER_RELEASE_DELAY: time::Duration = time::Duration::from_secs(1);

/// A TCP stream with a buffer of received bytes that are not yet consumed.
///
/// Dropping a future of a method loses no buffered bytes: a read is given only the spare capacity
/// of the buffer.
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
        // TCP_NODELAY only improves latency, so a failure to set it is ignored.
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

    /// Returns the address of the peer.
    pub(crate) fn peer_addr(&self) -> io::Result<net::SocketAddr> {
        self.stream.peer_addr()
    }

    /// Returns the received bytes that are not yet consumed.
    pub(crate) fn buf(&mut self) -> &mut bytes::BytesMut {
        &mut self.buf
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    pub(crate) fn is_eof(&self) -> bool {
        self.is_eof
    }

    /// Returns the number of bytes written since the socket was opened.
    pub(crate) fn written(&self) -> u64 {
        self.written
    }

    /// Returns the number of bytes read since the socket was opened.
    pub(crate) fn received(&self) -> u64 {
        self.received
    }

    /// Reads once into the buffer and returns the number of bytes, 0 at the end of the stream.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        if self.is_eof {
            return Ok(0);
        }
        self.yield_after_reads().await;
        let read_bytes = if self.is_bulk { BULK_READ_BYTES } else { READ_BYTES };
        if self.buf.capacity() - self.buf.len() < read_bytes / MIN_SPARE_DIVISOR {
            self.buf.reserve(read_bytes);
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

    /// Yields to the other tasks after every [`READS_PER_YIELD`] reads.
    async fn yield_after_reads(&mut self) {
        self.reads += 1;
        if self.reads == READS_PER_YIELD {
            self.reads = 0;
            yield_now().await;
        }
    }

    /// Reads once, waiting at most `limit`.
    pub(crate) async fn fill_within(&mut self, limit: time::Duration) -> Result<usize, WireError> {
        match timer::timeout(limit, self.fill()).await {
            Ok(res) => Ok(res?),
            Err(_) => Err(WireError::TimedOut),
        }
    }

    /// Reads once, waiting at most the time remaining in the window of `progress`.
    pub(crate) async fn fill_with_progress(
        &mut self,
        progress: &mut progress::Progress,
    ) -> Result<usize, WireError> {
        let began = time::Instant::now();
        let count = self.fill_within(progress.remaining()).await?;
        progress.record(count, began.elapsed());
        Ok(count)
    }

    /// Waits until the buffer holds bytes or the stream is readable.
    ///
    /// The buffer is freed after [`BUFFER_RELEASE_DELAY`], so that idle connections use little
    /// memory.
    pub(crate) async fn wait_readable(&mut self) -> io::Result<()> {
        if self.is_eof || !self.buf.is_empty() {
            return Ok(());
        }
        if let Ok(res) = timer::timeout(BUFFER_RELEASE_DELAY, self.fill()).await {
            return res.map(drop);
        }
        self.buf = bytes::BytesMut::new();
        self.stream.readable(false).await
    }

    /// Returns whether the peer has sent bytes or closed the connection, without waiting.
    pub(crate) async fn is_readable(&self) -> bool {
        if self.is_eof || !self.buf.is_empty() {
            return true;
        }
        now_or_never(self.stream.readable(false)).await.is_some()
    }

    /// Writes all of `data`; each write must make progress within `limit`.
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

    /// Closes the sending side, then discards up to `max_bytes` of input for at most `limit`, so
    /// that the peer can read the last response before the connection is reset.
    pub(crate) async fn lingering_close(&mut self, max_bytes: usize, limit: time::Duration) {
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
