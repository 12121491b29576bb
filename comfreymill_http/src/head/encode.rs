use std::fmt::Write as _;

use bytes::{BufMut as _, BytesMut};
use http::header;

/// Initial capacity of an encoded head, without its headers.
const HEAD_BYTES: usize = 256;

/// Capacity added for each header of a head.
const HEADER_BYTES: usize = 48;

/// How the body of an outgoing message is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutgoingFraming {
    /// No body, and no header that describes one.
    Empty,
    /// `Content-Length`; a writer counts it down to the number of bytes still to be sent.
    Length(u64),
    /// `Transfer-Encoding: chunked`.
    Chunked,
}

/// Encodes the head of a request.
///
/// Framing and connection headers in `headers` are ignored; `framing` sets the framing headers.
pub(crate) fn encode_request(
    method: &http::Method,
    target: &str,
    host: &str,
    headers: &http::HeaderMap,
    framing: OutgoingFraming,
) -> BytesMut {
    let mut buf = BytesMut::with_capacity(HEAD_BYTES + headers.len() * HEADER_BYTES);
    buf.put_slice(method.as_str().as_bytes());
    buf.put_u8(b' ');
    buf.put_slice(target.as_bytes());
    buf.put_slice(b" HTTP/1.1\r\n");
    if !headers.contains_key(header::HOST) {
        put_header(&mut buf, b"host", host.as_bytes());
    }
    put_headers(&mut buf, headers);
    put_framing(&mut buf, framing);
    buf.put_slice(b"\r\n");
    buf
}

/// Encodes the head of a response.
///
/// Framing and connection headers in `headers` are ignored; `framing` and `connection` set them.
pub(crate) fn encode_response(
    status: http::StatusCode,
    headers: &http::HeaderMap,
    framing: OutgoingFraming,
    connection: Option<&str>,
) -> BytesMut {
    let mut buf = BytesMut::with_capacity(HEAD_BYTES + headers.len() * HEADER_BYTES);
    buf.put_slice(b"HTTP/1.1 ");
    buf.put_slice(status.as_str().as_bytes());
    buf.put_u8(b' ');
    buf.put_slice(status.canonical_reason().unwrap_or_default().as_bytes());
    buf.put_slice(b"\r\n");
    put_headers(&mut buf, headers);
    put_framing(&mut buf, framing);
    if let Some(option) = connection {
        put_header(&mut buf, b"connection", option.as_bytes());
    }
    buf.put_slice(b"\r\n");
    buf
}

fn put_headers(buf: &mut BytesMut, headers: &http::HeaderMap) {
    for (name, value) in headers {
        if !is_set_by_encoder(name) {
            put_header(buf, name.as_str().as_bytes(), value.as_bytes());
        }
    }
}

fn put_framing(buf: &mut BytesMut, framing: OutgoingFraming) {
    match framing {
        OutgoingFraming::Empty => {}
        OutgoingFraming::Length(length) => {
            // Writing to a growing buffer cannot fail.
            let _ = write!(buf, "content-length: {length}\r\n");
        }
        OutgoingFraming::Chunked => put_header(buf, b"transfer-encoding", b"chunked"),
    }
}

fn put_header(buf: &mut BytesMut, name: &[u8], value: &[u8]) {
    buf.put_slice(name);
    buf.put_slice(b": ");
    buf.put_slice(value);
    buf.put_slice(b"\r\n");
}

/// Returns whether this module alone sets the header.
fn is_set_by_encoder(name: &header::HeaderName) -> bool {
    name == header::CONTENT_LENGTH
        || name == header::TRANSFER_ENCODING
        || name == header::CONNECTION
        || name.as_str() == "keep-alive"
}
