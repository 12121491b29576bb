use crate::snapshot;
use bytes::Bytes;

/// Snapshot that is being received in chunks.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    pub(super) meta: snapshot::SnapshotMeta,
    pub(super) total: u64,
    pub(super) checksum: u32,
    buf: Vec<u8>,
}

impl IncomingSnapshot {
    /// Creates a snapshot of which no chunk has arrived.
    pub(super) fn new(meta: snapshot::SnapshotMeta, total: u64, checksum: u32) -> Self {
        Self { meta, total, checksum, buf: Vec::new() }
    }

    /// Returns whether this is the snapshot with the given metadata, length and checksum.
    pub(super) fn is_of(&self, meta: &snapshot::SnapshotMeta, total: u64, checksum: u32) -> bool {
        self.meta == *meta && self.total == total && self.checksum == checksum
    }

    /// Returns the number of bytes that have arrived.
    pub(super) fn len(&self) -> u64 {
        self.buf.len() as u64
    }

    /// Adds the chunk that starts where the previous one ended; any other is ignored.
    pub(super) fn push(&mut self, offset: u64, data: &[u8]) {
        if offset == self.len() && self.len() + data.len() as u64 <= self.total {
            self.buf.extend_from_slice(data);
        }
    }

    /// Returns whether all chunks have arrived.
    pub(super) fn is_complete(&self) -> bool {
        self.len() == self.total
    }

    /// Returns the complete snapshot, or `None` if its checksum is wrong.
    pub(super) fn finish(self) -> Option<snapshot::Snapshot> {
        if crc32fast::hash(&self.buf) != self.checksum {
            return None;
        }
        Some(snapshot::Snapshot { meta: self.meta, data: Bytes::from(self.buf) })
    }
}
