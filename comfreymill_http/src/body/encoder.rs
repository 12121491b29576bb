use std::fmt::Write as _;

use bytes::{BufMut as _, Bytes, BytesMut};

/// The chunk that ends a body.
pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Upper bound for the size line and the line endings of a chunk: up to 16 hexadecimal digits and
/// two CR LF.
const CHUNK_OVERHEAD_BYTES: usize = 20;

/// Encodes one chunk; returns nothing for empty data, since an empty chunk ends the body.
pub(crate) fn encode_chunk(data: &Bytes) -> Bytes {
    if data.is_empty() {
        return Bytes::new();
    }
    let mut buf = BytesMut::with_capacity(data.len() + CHUNK_OVERHEAD_BYTES);
    // Writing to a growing buffer cannot fail.
    let _ = write!(buf, "{:x}\r\n", data.len());
    buf.put_slice(data);
    buf.put_slice(b"\r\n");
    buf.freeze()
}
