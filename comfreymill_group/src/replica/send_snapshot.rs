use crate::id;
use crate::message;
use crate::replica::Replica;
use crate::replica::election::State;
use crate::replica::outgoing_snapshot::OutgoingSnapshot;
use crate::replica::peer::Flow;
use comfreymill_types::time;

impl Replica {
    /// Starts to send the newest snapshot to `to`. The transfer is completed even if a newer
    /// snapshot is taken meanwhile, so that a slow follower makes progress.
    pub(super) fn start_snapshot(&mut self, now: time::Monotonic, to: id::VoterId) {
        let Some(snapshot) = self.snapshot.clone() else { return };
        let State::Leader(leader) = &mut self.state else { return };
        let Some(peer) = leader.peers.get_mut(&to) else { return };
        peer.probe_from(peer.next);
        peer.flow = Flow::Snapshot(Box::new(OutgoingSnapshot::new(snapshot)));
        self.send_chunk(now, to);
    }

    /// Sends the next chunk of the snapshot to `to`, without data if `to` has not responded lately.
    pub(super) fn send_chunk(&mut self, now: time::Monotonic, to: id::VoterId) {
        let (lease, chunk_bytes) = (self.cfg.get_lease(), self.cfg.get_snapshot_chunk_bytes());
        let State::Leader(leader) = &mut self.state else { return };
        let Some(peer) = leader.peers.get_mut(&to) else { return };
        let max_bytes = if peer.has_recent_response(now, lease) { chunk_bytes } else { 0 };
        let Flow::Snapshot(outgoing) = &peer.flow else { return };
        let chunk = outgoing.chunk(now, max_bytes);
        peer.waiting_since = Some(now);
        let disk = peer.disk;
        self.send(to, disk, message::Body::SnapshotChunk(chunk));
    }

    /// Continues the snapshot at the offset that the follower expects.
    pub(super) fn handle_snapshot_response(
        &mut self,
        now: time::Monotonic,
        from: id::VoterId,
        disk: id::DiskId,
        response: message::SnapshotResponse,
    ) {
        let sent_at = time::Monotonic::from_micros(response.sent_at_micros);
        let Some(peer) = self.peer_mut(from, disk) else { return };
        peer.confirm(sent_at, now);
        let is_awaited = peer.waiting_since == Some(sent_at);
        let Flow::Snapshot(outgoing) = &mut peer.flow else { return };
        if is_awaited && outgoing.ends_at(response.index) {
            outgoing.offset = response.next_offset;
            peer.waiting_since = None;
            peer.progressed(now);
            self.replicate(now, from);
        }
    }
}
