use bytes::{Bytes, BytesMut};

use super::{BodyError, chunked};
use crate::head;

/// Result of decoding the buffered bytes.
#[derive(Debug)]
pub(crate) enum Step {
    /// A piece of the body.
    Data(Bytes),
    /// More bytes must be read first.
    NeedMore,
    /// The body is complete.
    End,
}

/// Incremental decoder of a body, which returns data as it arrives.
#[derive(Debug)]
pub(crate) enum Decoder {
    /// A body with a stated length, of which this many bytes are still to come.
    Length(u64),
    /// A body in chunked transfer coding.
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

    /// Decodes the next step from the buffered bytes.
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
        return Step::NeedMore;
    }
    let available = usize::try_from(*left).unwrap_or(usize::MAX).min(buf.len());
    *left -= available as u64;
    Step::Data(buf.split_to(available).freeze())
}
