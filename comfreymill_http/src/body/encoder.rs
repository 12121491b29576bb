use std::fmt::Write as _;

use bytes::{BufMut as _, Bytes, BytesMut};

/// The chunk that ends a body.
pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

const CHUNK_OVERHEAD_BYTES: usize = 20;

/// Encodes one chunk; nothing for empty data, which would end the body.
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
