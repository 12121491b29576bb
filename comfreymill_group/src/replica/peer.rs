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
    /// When this leader began to track the member.
    pub(super) tracked_since: time::Monotonic,
    /// Since when the member has been silent if this leader never hears it.
    pub(super) silent_since: time::Monotonic,
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
    /// Time from the newest answered message to its response.
    round_trip: Duration,
    /// When a response last showed that the peer has more entries.
    progressed_at: time::Monotonic,
    /// Number of retries since then.
    retries: u32,
    round: Round,
    /// Start of the newest round that has ended: the peer has all that the leader had then.
    complete_at: Option<time::Monotonic>,
}

/// Round of replication, which ends when the peer has all entries that the leader had at its start.
#[derive(Clone, Copy, Debug)]
struct Round {
    began: time::Monotonic,
    end: id::Index,
}

/// Time without a response after which a peer was cut off, so that retries begin anew.
const SILENCE: Duration = Duration::from_secs(1);
/// Time within which a member answers a new leader.
const FIRST_RESPONSE: Duration = Duration::from_millis(500);
/// Maximum time until the first retry, however slow the peer is.
const MAX_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of retries after which the time until the next one no longer doubles.
const MAX_DOUBLINGS: u32 = 3;

impl Peer {
    /// Creates the state of a peer whose log is unknown; the first append starts at `next`.
    pub(super) fn new(disk: id::DiskId, next: id::Index, now: time::Monotonic) -> Self {
        Self {
            disk,
            tracked_since: now,
            silent_since: now,
            next,
            matched: id::Index::ZERO,
            flow: Flow::Probe,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            waiting_since: None,
            confirmed_at: None,
            last_response_at: None,
            round_trip: Duration::ZERO,
            progressed_at: time::Monotonic::ZERO,
            retries: 0,
            round: Round { began: now, end: next.previous() },
            complete_at: None,
        }
    }

    /// Records a response to a message sent at `sent_at`.
    pub(super) fn confirm(&mut self, sent_at: time::Monotonic, now: time::Monotonic) {
        if self.last_response_at.is_none_or(|at| now.since(at) >= SILENCE) {
            self.retries = 0;
        }
        self.last_response_at = Some(now);
        if sent_at <= now {
            if sent_at > time::Monotonic::ZERO {
                self.round_trip = now.since(sent_at);
            }
            self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        }
    }

    /// Returns whether the oldest unanswered message has to be sent again, and counts the retry.
    ///
    /// A peer whose responses are late, or keep showing progress, is slow and has lost nothing.
    /// Sending the entries again would make it slower, so a retry waits for two round trips, and
    /// each further one without progress twice as long.
    pub(super) fn begin_retry(&mut self, now: time::Monotonic, retry: Duration) -> bool {
        let appended_at = self.in_flight.front().map(|append| append.sent_at);
        let Some(sent_at) = self.waiting_since.or(appended_at) else { return false };
        let quiet_since = sent_at.max(self.progressed_at);
        let timeout = retry.max((self.round_trip * 2).min(MAX_TIMEOUT));
        let is_due = now.since(quiet_since) >= timeout * 2_u32.pow(self.retries.min(MAX_DOUBLINGS));
        if is_due {
            self.retries += 1;
        }
        is_due
    }

    /// Returns for how long a member that was never heard has been silent. It has to leave messages of
    /// this leader unanswered as well, not only those from before its election.
    pub(super) fn unheard_for(&self, now: time::Monotonic) -> Duration {
        let tracked_for = now.since(self.tracked_since);
        if tracked_for < FIRST_RESPONSE { tracked_for } else { now.since(self.silent_since) }
    }

    /// Returns whether a response arrived within `max_age` before `now`.
    pub(super) fn has_recent_response(&self, now: time::Monotonic, max_age: Duration) -> bool {
        self.last_response_at.is_some_and(|last_response_at| now.since(last_response_at) < max_age)
    }

    /// Returns whether the peer has all entries that the leader had `max_age` before `now`.
    pub(super) fn has_entries_of(&self, now: time::Monotonic, max_age: Duration) -> bool {
        self.complete_at.is_some_and(|complete_at| now.since(complete_at) < max_age)
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

    /// Records that the logs match up to `index`, while the leader's log ends at `last`.
    pub(super) fn accept(&mut self, index: id::Index, last: id::Index, now: time::Monotonic) {
        if index > self.matched {
            self.progressed(now);
        }
        if index >= self.round.end {
            self.complete_at = Some(self.round.began);
            self.round = Round { began: now, end: last };
        }
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        while self.in_flight.front().is_some_and(|append| append.last <= self.matched) {
            let Some(append) = self.in_flight.pop_front() else { break };
            self.in_flight_bytes -= append.bytes;
        }
        self.flow = Flow::Stream;
        self.waiting_since = None;
    }

    /// Returns whether a response showed progress within `max_age` before `now`.
    pub(super) fn has_progressed_within(&self, now: time::Monotonic, max_age: Duration) -> bool {
        self.progressed_at > time::Monotonic::ZERO && now.since(self.progressed_at) < max_age
    }

    /// Records that a response showed progress.
    pub(super) fn progressed(&mut self, now: time::Monotonic) {
        self.progressed_at = now;
        self.retries = 0;
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
