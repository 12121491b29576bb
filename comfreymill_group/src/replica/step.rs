use crate::id;
use crate::message::{self, Body};
use crate::replica::{Refusal, Replica};
use comfreymill_types::time;

impl Replica {
    /// Handles a message from the replica `from`.
    pub fn step(&mut self, now: time::Monotonic, from: id::VoterId, message: message::Message) {
        if self.halted.is_some() {
            return;
        }
        let disk = id::DiskId::new(message.disk);
        self.note_heard(now, from, disk);
        if !self.is_for_this_disk(&message) {
            self.note_refusal(now, from, &message, Refusal::OtherDisk);
            return;
        }
        match &message.body {
            None => {}
            Some(Body::PreVote(request)) => self.handle_pre_vote(now, from, &message, *request),
            Some(Body::PreVoteResponse(response)) => {
                self.handle_pre_vote_response(now, from, &message, *response);
            }
            Some(Body::Hello(hello)) => self.handle_hello(now, from, disk, *hello),
            Some(Body::HelloResponse(response)) => {
                let term = id::Term::new(message.term);
                self.handle_hello_response(from, disk, term, *response);
            }
            Some(Body::Vote(request)) if !request.transfer && self.has_recent_leader(now) => {
                let voter = self.voter;
                log::debug!(target: "group", "replica {voter} ignores a vote request from {from}");
                self.note_refusal(now, from, &message, Refusal::RecentLeader);
            }
            Some(_) => self.step_in_term(now, from, message),
        }
    }

    fn step_in_term(&mut self, now: time::Monotonic, from: id::VoterId, message: message::Message) {
        let term = id::Term::new(message.term);
        let disk = id::DiskId::new(message.disk);
        if term > self.term() {
            self.become_follower(now, term);
        }
        if term < self.term() {
            self.note_refusal(now, from, &message, Refusal::OlderTerm);
            self.reject_old_term(from, disk, message.body.as_ref());
            return;
        }
        match message.body {
            Some(Body::Vote(request)) => self.handle_vote(now, from, disk, request),
            Some(Body::VoteResponse(response)) => {
                self.handle_vote_response(now, from, disk, response);
            }
            Some(Body::Append(append)) => self.handle_append(now, from, disk, append),
            Some(Body::AppendResponse(response)) => {
                self.handle_append_response(now, from, disk, response);
            }
            Some(Body::Heartbeat(heartbeat)) => self.handle_heartbeat(now, from, disk, heartbeat),
            Some(Body::HeartbeatResponse(response)) => {
                self.handle_heartbeat_response(now, from, disk, response);
            }
            Some(Body::SnapshotChunk(chunk)) => self.handle_snapshot_chunk(now, from, disk, &chunk),
            Some(Body::SnapshotResponse(response)) => {
                self.handle_snapshot_response(now, from, disk, response);
            }
            Some(Body::TimeoutNow(_)) => self.handle_timeout_now(now, from),
            Some(_) | None => {}
        }
    }

    /// Responds to a leader or candidate of an earlier term with the current term.
    fn reject_old_term(&mut self, from: id::VoterId, disk: id::DiskId, body: Option<&Body>) {
        match body {
            Some(Body::Append(_) | Body::Heartbeat(_) | Body::SnapshotChunk(_)) => {
                let response = message::HeartbeatResponse { sent_at_micros: 0 };
                self.send_synced(from, disk, Body::HeartbeatResponse(response));
            }
            Some(Body::Vote(_)) => {
                let response =
                    message::VoteResponse { granted: false, reason: Refusal::OlderTerm.code() };
                self.send_synced(from, disk, Body::VoteResponse(response));
            }
            _ => {}
        }
    }

    fn is_for_this_disk(&self, message: &message::Message) -> bool {
        message.to_disk == 0 || message.to_disk == self.disk.get()
    }
}
