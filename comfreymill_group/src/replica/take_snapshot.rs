use crate::id;
use crate::message;
use crate::replica::Action;
use crate::replica::Replica;
use crate::replica::incoming_snapshot::IncomingSnapshot;
use crate::replica::log::Log;
use crate::snapshot;
use bytes::Bytes;
use comfreymill_types::time;

impl Replica {
    /// Stores `data`, the state of the replicated state machine after the entry at `index`, as the
    /// newest snapshot. Returns `false` if a snapshot at `index` or later exists, the entry is not
    /// delivered, or the replica halted.
    pub fn snapshot_taken(&mut self, index: id::Index, data: Bytes) -> bool {
        if index <= self.snapshot_index() || index > self.delivered || self.halted.is_some() {
            return false;
        }
        let Some(term) = self.log.term_at(index) else { return false };
        let membership = self.log.history().at(index).clone();
        let meta = snapshot::SnapshotMeta { index, term, membership };
        self.set_snapshot(snapshot::Snapshot { meta, data });
        let (entries, bytes) = (self.cfg.get_retained_entries(), self.cfg.get_retained_bytes());
        self.log.compact_to(self.log.tail_start(index, entries, bytes));
        true
    }

    /// Handles a chunk of the leader's snapshot.
    pub(super) fn handle_snapshot_chunk(
        &mut self,
        now: time::Monotonic,
        from: id::VoterId,
        disk: id::DiskId,
        chunk: &message::SnapshotChunk,
    ) {
        self.follow(now, from);
        let index = id::Index::new(chunk.index);
        if index <= self.commit {
            self.respond_installed(from, disk, chunk);
            return;
        }
        let Some(membership) = &chunk.membership else { return };
        let meta = snapshot::SnapshotMeta {
            index,
            term: id::Term::new(chunk.index_term),
            membership: membership.into(),
        };
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.is_of(&meta, chunk.total, chunk.checksum) => incoming,
            _ => IncomingSnapshot::new(meta, chunk.total, chunk.checksum),
        };
        incoming.push(chunk.offset, &chunk.data);
        let mut next_offset = incoming.len();
        if !incoming.is_complete() {
            self.incoming = Some(incoming);
        } else if let Some(snapshot) = incoming.finish() {
            self.install(snapshot);
            self.respond_installed(from, disk, chunk);
            return;
        } else {
            log::warn!(target: "group", "snapshot {index} of replica {from} has a wrong checksum");
            next_offset = 0;
        }
        let sent_at_micros = chunk.sent_at_micros;
        let response =
            message::SnapshotResponse { index: chunk.index, next_offset, sent_at_micros };
        self.send(from, disk, message::Body::SnapshotResponse(response));
    }

    /// Advances the commit index to the snapshot, and replaces the log if it doesn't contain the
    /// last entry of the snapshot.
    fn install(&mut self, snapshot: snapshot::Snapshot) {
        let index = snapshot.meta.index;
        log::info!(target: "group", "replica {} installs snapshot {index}", self.voter);
        self.commit = index;
        if self.log.term_at(index) == Some(snapshot.meta.term) {
            return;
        }
        self.replace_log(&snapshot.meta);
        self.delivered = index;
        self.set_snapshot(snapshot.clone());
        self.outbox.push_synced(Action::InstallSnapshot(snapshot));
    }

    fn replace_log(&mut self, meta: &snapshot::SnapshotMeta) {
        let (from, to) = (self.delivered.next(), self.log.last_index());
        if from <= to {
            self.outbox.actions.push(Action::Truncated { from, to });
        }
        self.outbox.entries_from = None;
        self.outbox.reset = true;
        self.outbox.note_truncated(meta.index);
        self.log = Log::new(meta);
    }

    fn set_snapshot(&mut self, snapshot: snapshot::Snapshot) {
        self.outbox.snapshot = Some(snapshot.clone());
        self.snapshot = Some(snapshot);
    }

    fn respond_installed(
        &mut self,
        from: id::VoterId,
        disk: id::DiskId,
        chunk: &message::SnapshotChunk,
    ) {
        let response = message::AppendResponse {
            prev_index: chunk.index,
            rejected: false,
            index: self.commit.get(),
            sent_at_micros: chunk.sent_at_micros,
        };
        self.send_synced(from, disk, message::Body::AppendResponse(response));
    }
}
