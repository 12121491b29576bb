use bytes::{Bytes, BytesMut};

use super::{BodyError, Decoder, Step};
use crate::{head, limits, wire};

/// Reads one body from a socket within the size and time limits.
#[derive(Debug)]
pub(crate) struct Reader {
    decoder: Decoder,
    framing: head::Framing,
    progress: wire::Progress,
    max_bytes: u64,
    received: u64,
    is_complete: bool,
    error: Option<BodyError>,
}

impl Reader {
    pub(crate) fn new(framing: head::Framing, limits: &limits::Limits) -> Self {
        let is_complete = matches!(framing, head::Framing::Empty | head::Framing::Length(0));
        Self {
            decoder: Decoder::new(framing),
            framing,
            progress: wire::Progress::new(
                limits.get_body_progress_timeout(),
                limits.get_min_progress_bytes(),
            ),
            max_bytes: limits.get_max_body_bytes(),
            received: 0,
            is_complete,
            error: None,
        }
    }

    /// Returns the length in bytes, if the head states it.
    pub(crate) fn length(&self) -> Option<u64> {
        match self.framing {
            head::Framing::Empty => Some(0),
            head::Framing::Length(length) => Some(length),
            head::Framing::Chunked => None,
        }
    }

    /// Returns the number of bytes still to come, if the head states a length.
    pub(crate) fn remaining(&self) -> Option<u64> {
        self.length().map(|length| length.saturating_sub(self.received))
    }

    /// Returns whether the whole body has been read.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the error that ended the body.
    pub(crate) fn error(&self) -> Option<BodyError> {
        self.error
    }

    /// Reads the next piece; returns `None` after the last.
    ///
    /// # Errors
    ///
    /// A [`BodyError`]; every later call returns the same error.
    pub(crate) async fn chunk(
        &mut self,
        socket: &mut wire::Socket,
    ) -> Result<Option<Bytes>, BodyError> {
        if let Some(err) = self.error {
            return Err(err);
        }
        let res = self.read(socket).await;
        self.error = res.as_ref().err().copied();
        res
    }

    /// Reads the whole body, at most `max_bytes`; `reserve` is called with the size of each piece
    /// and returns false when no memory is left for it.
    ///
    /// # Errors
    ///
    /// A [`BodyError`]; [`BodyError::MemoryLimit`] when `reserve` returns false.
    pub(crate) async fn collect<A>(
        &mut self,
        socket: &mut wire::Socket,
        max_bytes: u64,
        mut reserve: A,
    ) -> Result<Bytes, BodyError>
    where
        A: FnMut(u64) -> bool,
    {
        self.max_bytes = self.max_bytes.min(max_bytes);
        let Some(first) = self.reserved_chunk(socket, &mut reserve).await? else {
            return Ok(Bytes::new());
        };
        let Some(second) = self.reserved_chunk(socket, &mut reserve).await? else {
            return Ok(first);
        };
        let mut all = BytesMut::with_capacity(first.len() + second.len());
        all.extend_from_slice(&first);
        all.extend_from_slice(&second);
        while let Some(data) = self.reserved_chunk(socket, &mut reserve).await? {
            all.extend_from_slice(&data);
        }
        Ok(all.freeze())
    }

    async fn reserved_chunk<A>(
        &mut self,
        socket: &mut wire::Socket,
        reserve: &mut A,
    ) -> Result<Option<Bytes>, BodyError>
    where
        A: FnMut(u64) -> bool,
    {
        let data = self.chunk(socket).await?;
        if data.as_ref().is_some_and(|data| !reserve(data.len() as u64)) {
            self.error = Some(BodyError::MemoryLimit);
            return Err(BodyError::MemoryLimit);
        }
        Ok(data)
    }

    async fn read(&mut self, socket: &mut wire::Socket) -> Result<Option<Bytes>, BodyError> {
        if self.is_complete {
            return Ok(None);
        }
        if self.length().is_some_and(|length| length > self.max_bytes) {
            return Err(BodyError::TooLarge);
        }
        loop {
            match self.decoder.decode(socket.buf())? {
                Step::Data(data) => return self.count_received(data),
                Step::NeedMore => self.fill(socket).await?,
                Step::End => {
                    self.is_complete = true;
                    return Ok(None);
                }
            }
        }
    }

    fn count_received(&mut self, data: Bytes) -> Result<Option<Bytes>, BodyError> {
        self.received += data.len() as u64;
        if self.received > self.max_bytes {
            return Err(BodyError::TooLarge);
        }
        if self.length() == Some(self.received) {
            self.is_complete = true;
        }
        Ok(Some(data))
    }

    async fn fill(&mut self, socket: &mut wire::Socket) -> Result<(), BodyError> {
        match socket.fill_with_progress(&mut self.progress).await? {
            0 => Err(BodyError::CutShort),
            _ => Ok(()),
        }
    }
}
