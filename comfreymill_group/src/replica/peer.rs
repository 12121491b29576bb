use crate::id;
use crate::replica::outgoing::Outgoing;
use comfreymill_types::time;
use std::collections::VecDeque;
use std::time::Duration;

/// How entries are sent to a follower.
#[derive(Debug)]
pub(super) enum Flow {
    /// One append at a time, until the logs are known to agree.
    Probe,
    /// Appends follow each other up to the limit of bytes in flight.
    Stream,
    /// Parts of a snapshot, one at a time.
    Snapshot(Box<Outgoing>),
}

/// Append on its way.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlight {
    pub(super) last: id::Index,
    pub(super) bytes: usize,
    pub(super) sent_at: time::Monotonic,
}

/// Leader's knowledge of another member.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) disk: id::DiskId,
    pub(super) next: id::Index,
    pub(super) matched: id::Index,
    pub(super) flow: Flow,
    pub(super) in_flight: VecDeque<InFlight>,
    pub(super) in_flight_bytes: usize,
    /// When the newest probe or chunk was sent, unless it was answered.
    pub(super) waiting_since: Option<time::Monotonic>,
    /// When the newest heartbeat that was answered was sent.
    pub(super) confirmed_at: Option<time::Monotonic>,
    /// When the newest answer came.
    pub(super) heard_at: Option<time::Monotonic>,
}

impl Peer {
    /// Peer whose log is not known yet.
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
            heard_at: None,
        }
    }

    /// Notes an answer to a message sent at `sent_at`.
    pub(super) fn confirm(&mut self, sent_at: time::Monotonic, now: time::Monotonic) {
        self.heard_at = Some(now);
        if sent_at <= now {
            self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        }
    }

    /// Whether an answer came within `patience`.
    pub(super) fn is_heard(&self, now: time::Monotonic, patience: Duration) -> bool {
        self.heard_at.is_some_and(|heard_at| now.since(heard_at) < patience)
    }

    /// Whether appends follow each other.
    pub(super) fn is_streaming(&self) -> bool {
        matches!(self.flow, Flow::Stream)
    }

    /// Whether a snapshot is on its way.
    pub(super) fn takes_snapshot(&self) -> bool {
        matches!(self.flow, Flow::Snapshot(_))
    }

    /// Notes an append on its way.
    pub(super) fn sent(&mut self, append: InFlight) {
        self.in_flight_bytes += append.bytes;
        self.in_flight.push_back(append);
        self.next = append.last.next();
    }

    /// Notes that the logs agree up to `index`.
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

    /// Starts again at `next`, one append at a time.
    pub(super) fn probe_from(&mut self, next: id::Index) {
        self.next = next.max(self.matched.next());
        self.in_flight.clear();
        self.in_flight_bytes = 0;
        self.flow = Flow::Probe;
        self.waiting_since = None;
    }
}
