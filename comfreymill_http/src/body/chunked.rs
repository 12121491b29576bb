use bytes::{Bytes, BytesMut};

use super::{BodyError, Step};
use crate::head;

/// Longest line with a chunk size and its extensions.
const MAX_CHUNK_LINE_BYTES: usize = 1024;
/// Largest total size of the chunk extensions of a body.
const MAX_EXTENSION_BYTES: usize = 16 * 1024;
const MAX_TRAILER_BYTES: usize = 8 * 1024;
const MAX_TRAILERS: usize = 32;
const CRLF: &[u8] = b"\r\n";

#[derive(Debug)]
enum State {
    Size,
    Data { left: u64 },
    DataEnd,
    Trailer { scan: head::Scan },
    End,
}

/// Incremental decoder of the chunked transfer coding, which returns data as it arrives.
#[derive(Debug)]
pub(crate) struct Chunked {
    state: State,
    extension_bytes: usize,
}

impl Chunked {
    pub(crate) fn new() -> Self {
        Self { state: State::Size, extension_bytes: 0 }
    }

    /// Decodes the next step from the buffered bytes.
    ///
    /// # Errors
    ///
    /// [`BodyError::BadChunk`] or [`BodyError::BadTrailer`] when the bytes are malformed.
    pub(crate) fn decode(&mut self, buf: &mut BytesMut) -> Result<Step, BodyError> {
        loop {
            let has_advanced = match &mut self.state {
                State::Size => self.decode_size(buf)?,
                State::Data { left } => {
                    let Some(data) = take_data(left, buf) else {
                        return Ok(Step::NeedMore);
                    };
                    if *left == 0 {
                        self.state = State::DataEnd;
                    }
                    return Ok(Step::Data(data));
                }
                State::DataEnd => self.decode_data_end(buf)?,
                State::Trailer { .. } => self.decode_trailer(buf)?,
                State::End => return Ok(Step::End),
            };
            if !has_advanced {
                return Ok(Step::NeedMore);
            }
        }
    }

    fn decode_size(&mut self, buf: &mut BytesMut) -> Result<bool, BodyError> {
        // The parser reads an empty size as 0, which would end the body.
        if buf.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
            return Err(BodyError::BadChunk);
        }
        match httparse::parse_chunk_size(buf) {
            Ok(httparse::Status::Complete((line_bytes, size))) => {
                self.start_chunk(buf, line_bytes, size)?;
                Ok(true)
            }
            Ok(httparse::Status::Partial) if buf.len() <= MAX_CHUNK_LINE_BYTES => Ok(false),
            Ok(httparse::Status::Partial) | Err(_) => Err(BodyError::BadChunk),
        }
    }

    fn start_chunk(
        &mut self,
        buf: &mut BytesMut,
        line_bytes: usize,
        size: u64,
    ) -> Result<(), BodyError> {
        let line = buf.split_to(line_bytes);
        let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
        self.extension_bytes += line_bytes - digits - CRLF.len();
        if line_bytes > MAX_CHUNK_LINE_BYTES || self.extension_bytes > MAX_EXTENSION_BYTES {
            return Err(BodyError::BadChunk);
        }
        self.state = match size {
            0 => State::Trailer { scan: head::Scan::new(MAX_TRAILER_BYTES, MAX_TRAILERS) },
            left => State::Data { left },
        };
        Ok(())
    }

    fn decode_data_end(&mut self, buf: &mut BytesMut) -> Result<bool, BodyError> {
        if buf.len() < CRLF.len() {
            let is_possible = CRLF.starts_with(buf);
            return if is_possible { Ok(false) } else { Err(BodyError::BadChunk) };
        }
        if !buf.starts_with(CRLF) {
            return Err(BodyError::BadChunk);
        }
        let _ = buf.split_to(CRLF.len());
        self.state = State::Size;
        Ok(true)
    }

    /// Validates the trailer and discards it.
    fn decode_trailer(&mut self, buf: &mut BytesMut) -> Result<bool, BodyError> {
        let State::Trailer { scan } = &mut self.state else {
            return Ok(false);
        };
        let Some(bytes) = scan.advance(buf).map_err(|_| BodyError::BadTrailer)? else {
            return Ok(false);
        };
        let trailer = buf.split_to(bytes);
        let mut headers = [httparse::EMPTY_HEADER; MAX_TRAILERS + 1];
        match httparse::parse_headers(&trailer, &mut headers) {
            Ok(httparse::Status::Complete(_)) => {}
            Ok(httparse::Status::Partial) | Err(_) => return Err(BodyError::BadTrailer),
        }
        self.state = State::End;
        Ok(true)
    }
}

fn take_data(left: &mut u64, buf: &mut BytesMut) -> Option<Bytes> {
    if buf.is_empty() {
        return None;
    }
    let available = usize::try_from(*left).unwrap_or(usize::MAX).min(buf.len());
    *left -= available as u64;
    Some(buf.split_to(available).freeze())
}
