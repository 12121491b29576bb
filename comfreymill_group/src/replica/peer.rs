use crate::id;
use crate::replica::outgoing_snapshot::OutgoingSnapshot;
use comfreymill_types::time;
use std::collections::VecDeque;
use std::time::Duration;

/// How the log is sent to a follower.
#[derive(Debug)]
pub(super) enum Flow {
    /// One append at a time, until the index at which the logs match is known.
    Probe,
    /// Appends are pipelined up to the limit of bytes in flight.
    Stream,
    /// Chunks of a snapshot, one at a time.
    Snapshot(Box<OutgoingSnapshot>),
}

/// Append that was sent and not answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlight {
    pub(super) last: id::Index,
    pub(super) bytes: usize,
    pub(super) sent_at: time::Monotonic,
}

/// Replication state of another member, as tracked by the leader.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) disk: id::DiskId,
    pub(super) next: id::Index,
    pub(super) matched: id::Index,
    pub(super) flow: Flow,
    pub(super) in_flight: VecDeque<InFlight>,
    pub(super) in_flight_bytes: usize,
    /// When the newest probe or snapshot chunk was sent, if it is not answered yet.
    pub(super) waiting_since: Option<time::Monotonic>,
    /// Send time of the newest message that was answered.
    pub(super) confirmed_at: Option<time::Monotonic>,
    /// When the newest response arrived.
    pub(super) last_response_at: Option<time::Monotonic>,
}

impl Peer {
    /// Creates the state of a peer whose log is unknown; the first append starts at `next`.
    pub(super) fn new(disk: id::DiskId, next: id::Index) -> Self {
        Self {
            disk,
            next,
            matched: id::Index::ZERO,
            flow: Flow::Probe,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            waiting_since: None,
            confirmed_at: None,
            last_response_at: None,
        }
    }

    /// Records a response to a message sent at `sent_at`.
    pub(super) fn confirm(&mut self, sent_at: time::Monotonic, now: time::Monotonic) {
        self.last_response_at = Some(now);
        if sent_at <= now {
            self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        }
    }

    /// Returns whether a response arrived within `max_age` before `now`.
    pub(super) fn has_recent_response(&self, now: time::Monotonic, max_age: Duration) -> bool {
        self.last_response_at.is_some_and(|last_response_at| now.since(last_response_at) < max_age)
    }

    /// Returns whether appends are pipelined.
    pub(super) fn is_streaming(&self) -> bool {
        matches!(self.flow, Flow::Stream)
    }

    /// Returns whether a snapshot is being sent.
    pub(super) fn is_receiving_snapshot(&self) -> bool {
        matches!(self.flow, Flow::Snapshot(_))
    }

    /// Records that an append was sent.
    pub(super) fn sent(&mut self, append: InFlight) {
        self.in_flight_bytes += append.bytes;
        self.in_flight.push_back(append);
        self.next = append.last.next();
    }

    /// Records that the logs match up to `index`.
    pub(super) fn accept(&mut self, index: id::Index) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        while self.in_flight.front().is_some_and(|append| append.last <= self.matched) {
            let Some(append) = self.in_flight.pop_front() else { break };
            self.in_flight_bytes -= append.bytes;
        }
        self.flow = Flow::Stream;
        self.waiting_since = None;
    }

    /// Returns to probing, from `next`.
    pub(super) fn probe_from(&mut self, next: id::Index) {
        self.next = next.max(self.matched.next());
        self.in_flight.clear();
        self.in_flight_bytes = 0;
        self.flow = Flow::Probe;
        self.waiting_since = None;
    }
}
