//! Frames: the units in which files are written, checked and truncated.

use crate::store::Corruption;
use std::ops;

const MAGIC: [u8; 4] = *b"cmf1";
const HEADER_BYTES: usize = 24;

/// Valid frame in a buffer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Frame {
    /// Sequence number of the frame.
    pub(super) sequence: u64,
    /// Range of the payload in the buffer.
    pub(super) payload: ops::Range<usize>,
}

/// Result of parsing a frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Parsed {
    /// The buffer ends here.
    End,
    /// A valid frame.
    Frame(Frame),
    /// An invalid frame without frames after it, which a crash during a write explains.
    Torn,
    /// An invalid frame that no crash explains.
    Corrupt(Corruption),
}

/// Encodes a frame.
pub(super) fn encode(sequence: u64, payload: &[u8]) -> Vec<u8> {
    let len = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let mut buf = Vec::with_capacity(HEADER_BYTES + payload.len());
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&sequence.to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let checksum = crc32fast::hash(&buf);
    buf.extend_from_slice(&checksum.to_le_bytes());
    buf.extend_from_slice(payload);
    buf
}

/// Parses the frame that starts at `offset` of `buf`.
pub(super) fn parse(buf: &[u8], offset: usize) -> Parsed {
    if offset == buf.len() {
        return Parsed::End;
    }
    let Some(header) = Header::read(buf, offset) else {
        return classify_invalid(buf, offset + 1);
    };
    let start = offset + HEADER_BYTES;
    let end = start.saturating_add(header.len);
    if end > buf.len() {
        return classify_invalid(buf, start);
    }
    if crc32fast::hash(&buf[start..end]) == header.payload_checksum {
        return Parsed::Frame(Frame { sequence: header.sequence, payload: start..end });
    }
    if end < buf.len() { Parsed::Corrupt(Corruption::Checksum) } else { Parsed::Torn }
}

/// Classifies an invalid frame: it is torn if no frame header follows from `from` on.
fn classify_invalid(buf: &[u8], from: usize) -> Parsed {
    let has_header_after = (from..buf.len()).any(|offset| Header::read(buf, offset).is_some());
    if has_header_after { Parsed::Corrupt(Corruption::Checksum) } else { Parsed::Torn }
}

struct Header {
    len: usize,
    sequence: u64,
    payload_checksum: u32,
}

impl Header {
    fn read(buf: &[u8], offset: usize) -> Option<Self> {
        let header = buf.get(offset..offset + HEADER_BYTES)?;
        if header[..4] != MAGIC || crc32fast::hash(&header[..20]) != u32_at(header, 20) {
            return None;
        }
        let low = u64::from(u32_at(header, 8));
        let high = u64::from(u32_at(header, 12));
        Some(Self {
            len: u32_at(header, 4) as usize,
            sequence: high << 32 | low,
            payload_checksum: u32_at(header, 16),
        })
    }
}

fn u32_at(buf: &[u8], offset: usize) -> u32 {
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&buf[offset..offset + 4]);
    u32::from_le_bytes(bytes)
}
