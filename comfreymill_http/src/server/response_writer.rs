use bytes::{Bytes, BytesMut};

use super::exchange::ResponseState;
use super::{Connection, ServerError};
use crate::{body, head};

#[derive(Debug)]
enum Mode {
    /// The head has been sent, and pieces of the body are written as they are given.
    Streamed { framing: head::OutgoingFraming },
    /// The body is buffered, and the whole response is sent by [`ResponseWriter::finish`].
    Buffered { status: http::StatusCode, headers: http::HeaderMap, body: BytesMut },
}

/// Writer for a response whose body is sent in pieces.
///
/// Dropping it before [`ResponseWriter::finish`] closes the connection, so that the caller cannot
/// mistake a partial response for a complete one.
#[derive(Debug)]
#[must_use]
pub struct ResponseWriter<'c> {
    conn: &'c mut Connection,
    mode: Mode,
}

impl<'c> ResponseWriter<'c> {
    pub(super) fn streamed(conn: &'c mut Connection, framing: head::OutgoingFraming) -> Self {
        Self { conn, mode: Mode::Streamed { framing } }
    }

    pub(super) fn buffered(
        conn: &'c mut Connection,
        status: http::StatusCode,
        headers: http::HeaderMap,
    ) -> Self {
        Self { conn, mode: Mode::Buffered { status, headers, body: BytesMut::new() } }
    }

    /// Sends a piece of the body.
    ///
    /// # Errors
    ///
    /// [`ServerError::WrongLength`] when the body exceeds its stated length or, while it is
    /// buffered, the size limit of a body; otherwise the error of the write.
    pub async fn chunk(&mut self, data: Bytes) -> Result<(), ServerError> {
        match &mut self.mode {
            Mode::Streamed { framing: head::OutgoingFraming::Empty } => Ok(()),
            Mode::Streamed { framing: head::OutgoingFraming::Length(left) } => {
                let length = data.len() as u64;
                *left = left.checked_sub(length).ok_or(ServerError::WrongLength)?;
                self.conn.write(data).await
            }
            Mode::Streamed { framing: head::OutgoingFraming::Chunked } => {
                self.conn.write(body::encode_chunk(&data)).await
            }
            Mode::Buffered { body, .. } => {
                let length = (body.len() + data.len()) as u64;
                if length > self.conn.limits.get_max_body_bytes() {
                    return Err(ServerError::WrongLength);
                }
                body.extend_from_slice(&data);
                Ok(())
            }
        }
    }

    /// Completes the response.
    ///
    /// # Errors
    ///
    /// [`ServerError::WrongLength`] when the body is shorter than its stated length; otherwise the
    /// error of the write.
    pub async fn finish(self) -> Result<(), ServerError> {
        match self.mode {
            Mode::Streamed { framing } => finish_streamed(self.conn, framing).await,
            Mode::Buffered { status, headers, body } => {
                self.conn.respond(status, &headers, body.freeze()).await
            }
        }
    }
}

async fn finish_streamed(
    conn: &mut Connection,
    framing: head::OutgoingFraming,
) -> Result<(), ServerError> {
    match framing {
        head::OutgoingFraming::Length(left) if left > 0 => return Err(ServerError::WrongLength),
        head::OutgoingFraming::Chunked => conn.write(Bytes::from_static(body::LAST_CHUNK)).await?,
        head::OutgoingFraming::Empty | head::OutgoingFraming::Length(_) => {}
    }
    conn.exchange_mut()?.response_state = ResponseState::Complete;
    Ok(())
}
