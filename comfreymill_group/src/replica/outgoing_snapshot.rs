use crate::message;
use crate::snapshot;
use comfreymill_types::time;

/// Snapshot that is being sent to a follower in chunks.
#[derive(Debug)]
pub(super) struct OutgoingSnapshot {
    snapshot: snapshot::Snapshot,
    checksum: u32,
    /// Number of bytes that the follower has received.
    pub(super) offset: u64,
}

impl OutgoingSnapshot {
    /// Creates a transfer of `snapshot` that starts at its first byte.
    pub(super) fn new(snapshot: snapshot::Snapshot) -> Self {
        let checksum = snapshot.checksum();
        Self { snapshot, checksum, offset: 0 }
    }

    /// Returns whether `index` is the last entry that the snapshot covers.
    pub(super) fn ends_at(&self, index: u64) -> bool {
        self.snapshot.meta.index.get() == index
    }

    /// Returns the next chunk, with at most `max_bytes` of data.
    pub(super) fn chunk(&self, now: time::Monotonic, max_bytes: usize) -> message::SnapshotChunk {
        let meta = &self.snapshot.meta;
        let total = self.snapshot.data.len();
        let start = usize::try_from(self.offset).unwrap_or(total).min(total);
        let end = start.saturating_add(max_bytes).min(total);
        message::SnapshotChunk {
            index: meta.index.get(),
            index_term: meta.term.get(),
            membership: Some((&meta.membership).into()),
            offset: self.offset,
            total: total as u64,
            checksum: self.checksum,
            data: self.snapshot.data.slice(start..end),
            sent_at_micros: now.as_micros(),
        }
    }
}
