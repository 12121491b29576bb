use crate::snapshot;
use bytes::Bytes;

/// Snapshot that arrives in parts.
#[derive(Debug)]
pub(super) struct Incoming {
    pub(super) meta: snapshot::SnapshotMeta,
    pub(super) total: u64,
    pub(super) checksum: u32,
    buf: Vec<u8>,
}

impl Incoming {
    /// Snapshot of which nothing has arrived.
    pub(super) fn new(meta: snapshot::SnapshotMeta, total: u64, checksum: u32) -> Self {
        Self { meta, total, checksum, buf: Vec::new() }
    }

    /// Whether this is the snapshot described.
    pub(super) fn is_of(&self, meta: &snapshot::SnapshotMeta, total: u64, checksum: u32) -> bool {
        self.meta == *meta && self.total == total && self.checksum == checksum
    }

    /// Bytes that have arrived.
    pub(super) fn len(&self) -> u64 {
        self.buf.len() as u64
    }

    /// Adds a part that starts where the last one ended; any other is ignored.
    pub(super) fn push(&mut self, offset: u64, data: &[u8]) {
        if offset == self.len() && self.len() + data.len() as u64 <= self.total {
            self.buf.extend_from_slice(data);
        }
    }

    /// Whether all has arrived.
    pub(super) fn is_complete(&self) -> bool {
        self.len() == self.total
    }

    /// Whole snapshot, unless its checksum is wrong.
    pub(super) fn finish(self) -> Option<snapshot::Snapshot> {
        if crc32fast::hash(&self.buf) != self.checksum {
            return None;
        }
        Some(snapshot::Snapshot { meta: self.meta, data: Bytes::from(self.buf) })
    }
}
