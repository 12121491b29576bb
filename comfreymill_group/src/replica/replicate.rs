use crate::entry;
use crate::id;
use crate::message;
use crate::replica::Replica;
use crate::replica::election::State;
use crate::replica::peer::{InFlight, Peer};
use comfreymill_types::time;

impl Replica {
    /// Sends every peer the entries that it lacks, within the limits.
    pub(super) fn replicate_all(&mut self, now: time::Monotonic) {
        for to in self.peer_ids() {
            self.replicate(now, to);
        }
    }

    /// Sends `to` the entries that it lacks, within the limits.
    pub(super) fn replicate(&mut self, now: time::Monotonic, to: id::VoterId) {
        while self.replicate_once(now, to) {}
    }

    /// Resends appends and snapshot chunks that were not answered within the retry time.
    pub(super) fn retry_all(&mut self, now: time::Monotonic) {
        let retry = self.cfg.get_retry();
        for to in self.peer_ids() {
            let State::Leader(leader) = &mut self.state else { return };
            let Some(peer) = leader.peers.get_mut(&to) else { continue };
            if peer.begin_retry(now, retry) {
                if peer.is_streaming() {
                    peer.probe_from(peer.matched.next());
                }
                peer.waiting_since = None;
            }
            self.replicate(now, to);
        }
    }

    /// Records how far the log of `from` matches, and sends what it lacks.
    pub(super) fn handle_append_response(
        &mut self,
        now: time::Monotonic,
        from: id::VoterId,
        disk: id::DiskId,
        response: message::AppendResponse,
    ) {
        let last = self.log.last_index();
        let Some(peer) = self.peer_mut(from, disk) else { return };
        peer.confirm(time::Monotonic::from_micros(response.sent_at_micros), now);
        let index = id::Index::new(response.index);
        let prev = id::Index::new(response.prev_index);
        if !response.rejected {
            peer.accept(index.min(last), last, now);
            self.try_commit();
            self.tick_transfer(now);
        } else if prev > peer.matched && prev < peer.next {
            peer.probe_from(index.min(prev));
        }
        self.replicate(now, from);
    }

    /// Commits the entries that a quorum has synced, if the last of them is of the current term.
    pub(super) fn try_commit(&mut self) {
        let State::Leader(leader) = &self.state else { return };
        let durable = self.outbox.durable();
        let mut matched: Vec<_> = self
            .membership()
            .voters()
            .map(|voter| leader.peers.get(&voter).map_or(durable, |peer| peer.matched))
            .collect();
        matched.sort_unstable();
        let quorum = self.membership().quorum();
        let Some(position) = matched.len().checked_sub(quorum) else { return };
        let index = matched[position];
        if index > self.commit && self.log.term_at(index) == Some(self.hard_state.term) {
            self.commit_to(index);
        }
    }

    /// Returns the peer `from`, if `disk` is its disk in the membership.
    pub(super) fn peer_mut(&mut self, from: id::VoterId, disk: id::DiskId) -> Option<&mut Peer> {
        let State::Leader(leader) = &mut self.state else { return None };
        leader.peers.get_mut(&from).filter(|peer| peer.disk == disk)
    }

    /// Updates the set of peers to the newest membership.
    pub(super) fn sync_peers(&mut self, now: time::Monotonic) {
        self.forget_announcements_of_members();
        let next = self.log.last_index().next();
        let membership = self.log.history().current();
        let State::Leader(leader) = &mut self.state else { return };
        leader.peers.retain(|voter, peer| membership.contains(*voter, peer.disk));
        for (voter, member) in membership.iter().filter(|(voter, _)| *voter != self.voter) {
            leader.peers.entry(voter).or_insert_with(|| Peer::new(member.disk, next, now));
        }
    }

    fn peer_ids(&self) -> Vec<id::VoterId> {
        match &self.state {
            State::Leader(leader) => leader.peers.keys().copied().collect(),
            _ => Vec::new(),
        }
    }

    /// Sends one message if any is due, and returns whether another may follow at once.
    fn replicate_once(&mut self, now: time::Monotonic, to: id::VoterId) -> bool {
        let last = self.log.last_index();
        let State::Leader(leader) = &mut self.state else { return false };
        let Some(peer) = leader.peers.get_mut(&to) else { return false };
        if peer.waiting_since.is_some() {
            return false;
        }
        if peer.is_receiving_snapshot() {
            self.send_chunk(now, to);
            return false;
        }
        let is_full = peer.in_flight_bytes >= self.cfg.get_max_in_flight_bytes();
        if is_full || (peer.is_streaming() && peer.next > last) {
            return false;
        }
        let prev = peer.next.previous();
        let Some(prev_term) = self.log.term_at(prev) else {
            self.start_snapshot(now, to);
            return false;
        };
        let is_probe = !peer.is_streaming();
        let has_recent_response = peer.has_recent_response(now, self.cfg.get_lease());
        let end = if is_probe && !has_recent_response { prev } else { last };
        let entries = self.log.slice(peer.next, end, self.cfg.get_max_append_bytes());
        let bytes = entries.iter().map(entry::Entry::size_bytes).sum();
        if is_probe {
            peer.waiting_since = Some(now);
        } else if let Some(newest) = entries.last() {
            peer.sent(InFlight { last: newest.index, bytes, sent_at: now });
        }
        let disk = peer.disk;
        let append = message::Append {
            prev_index: prev.get(),
            prev_term: prev_term.get(),
            commit: self.commit.get(),
            sent_at_micros: now.as_micros(),
            entries: entries.iter().map(Into::into).collect(),
        };
        self.send(to, disk, message::Body::Append(append));
        !is_probe
    }

    fn commit_to(&mut self, index: id::Index) {
        let bytes = self.log.size_bytes(self.commit.next(), index);
        self.commit = index;
        if let State::Leader(leader) = &mut self.state {
            leader.uncommitted_bytes = leader.uncommitted_bytes.saturating_sub(bytes);
        }
    }
}
