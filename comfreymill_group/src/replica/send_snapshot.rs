use crate::id;
use crate::message;
use crate::replica::Replica;
use crate::replica::election::State;
use crate::replica::peer::Flow;
use comfreymill_types::time;

impl Replica {
    /// Starts to send the newest snapshot to `to`.
    pub(super) fn start_snapshot(&mut self, now: time::Monotonic, to: id::VoterId) {
        let index = self.snapshot_index();
        let State::Leader(leader) = &mut self.state else { return };
        let Some(peer) = leader.peers.get_mut(&to) else { return };
        peer.probe_from(peer.next);
        peer.flow = Flow::Snapshot { index, offset: 0 };
        self.send_chunk(now, to);
    }

    /// Sends the next part of the snapshot to `to`.
    pub(super) fn send_chunk(&mut self, now: time::Monotonic, to: id::VoterId) {
        let Some(snapshot) = &self.snapshot else { return };
        let State::Leader(leader) = &mut self.state else { return };
        let Some(peer) = leader.peers.get_mut(&to) else { return };
        let newest = snapshot.meta.index;
        let offset = match peer.flow {
            Flow::Snapshot { index, offset } if index == newest => offset,
            _ => 0,
        };
        peer.flow = Flow::Snapshot { index: newest, offset };
        peer.waiting_since = Some(now);
        let total = snapshot.data.len();
        let start = usize::try_from(offset).unwrap_or(total).min(total);
        let end = (start + self.cfg.get_snapshot_chunk_bytes()).min(total);
        let chunk = message::SnapshotChunk {
            index: newest.get(),
            index_term: snapshot.meta.term.get(),
            membership: Some((&snapshot.meta.membership).into()),
            offset,
            total: total as u64,
            checksum: snapshot.checksum(),
            data: snapshot.data.slice(start..end),
            sent_at_micros: now.as_micros(),
        };
        let disk = peer.disk;
        self.send(to, disk, message::Body::SnapshotChunk(chunk));
    }

    /// Goes on with the snapshot where the follower says.
    pub(super) fn handle_snapshot_response(
        &mut self,
        now: time::Monotonic,
        from: id::VoterId,
        disk: id::DiskId,
        answer: message::SnapshotResponse,
    ) {
        let Some(peer) = self.peer_mut(from, disk) else { return };
        peer.confirm(time::Monotonic::from_micros(answer.sent_at_micros), now);
        let answered = id::Index::new(answer.index);
        match peer.flow {
            Flow::Snapshot { index, offset } if index == answered => {
                if answer.next_offset == offset && offset > 0 {
                    return;
                }
                peer.flow = Flow::Snapshot { index, offset: answer.next_offset };
                peer.waiting_since = None;
                self.replicate(now, from);
            }
            _ => {}
        }
    }
}
