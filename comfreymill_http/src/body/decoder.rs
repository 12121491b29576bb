use bytes::{Bytes, BytesMut};

use super::{BodyError, chunked};
use crate::head;

/// What a decoder makes of the bytes in the buffer.
#[derive(Debug)]
pub(crate) enum Step {
    /// Some of the body.
    Data(Bytes),
    /// More bytes are needed.
    More,
    /// The body is complete.
    End,
}

/// Decoder of a body, which passes the data on as it comes.
#[derive(Debug)]
pub(crate) enum Decoder {
    /// A body of which this many bytes are left.
    Length(u64),
    /// A body in chunks.
    Chunked(chunked::Chunked),
}

impl Decoder {
    pub(crate) fn new(framing: head::Framing) -> Self {
        match framing {
            head::Framing::Empty => Self::Length(0),
            head::Framing::Length(length) => Self::Length(length),
            head::Framing::Chunked => Self::Chunked(chunked::Chunked::new()),
        }
    }

    /// The next step that the bytes in the buffer allow.
    ///
    /// # Errors
    ///
    /// A [`BodyError`] when the chunks are malformed.
    pub(crate) fn decode(&mut self, buf: &mut BytesMut) -> Result<Step, BodyError> {
        match self {
            Self::Length(left) => Ok(decode_length(left, buf)),
            Self::Chunked(chunked) => chunked.decode(buf),
        }
    }
}

fn decode_length(left: &mut u64, buf: &mut BytesMut) -> Step {
    if *left == 0 {
        return Step::End;
    }
    if buf.is_empty() {
        return Step::More;
    }
    let available = usize::try_from(*left).unwrap_or(usize::MAX).min(buf.len());
    *left -= available as u64;
    Step::Data(buf.split_to(available).freeze())
}
