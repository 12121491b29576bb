use crate::id;
use crate::message::{self, Body};
use crate::replica::Replica;
use comfreymill_types::time;

impl Replica {
    /// Handles a message from the replica `from`.
    pub fn step(&mut self, now: time::Monotonic, from: id::VoterId, message: message::Message) {
        if self.halted.is_some() || !self.is_meant_for_us(&message) {
            return;
        }
        let disk = id::DiskId::new(message.disk);
        match &message.body {
            None => {}
            Some(Body::PreVote(question)) => self.handle_pre_vote(now, from, &message, *question),
            Some(Body::PreVoteResponse(answer)) => {
                self.handle_pre_vote_response(now, from, &message, *answer);
            }
            Some(Body::Hello(hello)) => self.handle_hello(now, from, disk, *hello),
            Some(Body::HelloResponse(answer)) => {
                self.handle_hello_response(from, disk, *answer);
            }
            Some(Body::Vote(question)) if !question.transfer && self.hears_leader(now) => {
                let voter = self.voter;
                log::debug!(target: "group", "replica {voter} ignores a vote request from {from}");
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
            self.answer_old_term(from, disk, message.body.as_ref());
            return;
        }
        match message.body {
            Some(Body::Vote(question)) => self.handle_vote(now, from, disk, question),
            Some(Body::VoteResponse(answer)) => self.handle_vote_response(now, from, disk, answer),
            Some(Body::Append(append)) => self.handle_append(now, from, disk, append),
            Some(Body::AppendResponse(answer)) => {
                self.handle_append_response(now, from, disk, answer);
            }
            Some(Body::Heartbeat(heartbeat)) => self.handle_heartbeat(now, from, disk, heartbeat),
            Some(Body::HeartbeatResponse(answer)) => {
                self.handle_heartbeat_response(now, from, disk, answer);
            }
            Some(Body::SnapshotChunk(chunk)) => self.handle_snapshot_chunk(now, from, disk, &chunk),
            Some(Body::SnapshotResponse(answer)) => {
                self.handle_snapshot_response(now, from, disk, answer);
            }
            Some(Body::TimeoutNow(_)) => self.handle_timeout_now(now, from),
            Some(_) | None => {}
        }
    }

    /// Responds to a leader or candidate of an earlier term with the current term.
    fn answer_old_term(&mut self, from: id::VoterId, disk: id::DiskId, body: Option<&Body>) {
        match body {
            Some(Body::Append(_) | Body::Heartbeat(_) | Body::SnapshotChunk(_)) => {
                let answer = message::HeartbeatResponse { sent_at_micros: 0 };
                self.send_synced(from, disk, Body::HeartbeatResponse(answer));
            }
            Some(Body::Vote(_)) => {
                let answer = message::VoteResponse { granted: false };
                self.send_synced(from, disk, Body::VoteResponse(answer));
            }
            _ => {}
        }
    }

    fn is_meant_for_us(&self, message: &message::Message) -> bool {
        message.to_disk == 0 || message.to_disk == self.disk.get()
    }
}
