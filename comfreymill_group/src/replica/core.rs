use crate::entry;
use crate::id;
use crate::membership;
use crate::message;
use crate::replica::diagnosis::Diagnosis;
use crate::replica::election::State;
use crate::replica::incoming_snapshot::IncomingSnapshot;
use crate::replica::log::Log;
use crate::replica::newcomer::Newcomer;
use crate::replica::outbox::Outbox;
use crate::replica::{Action, Config, Halt, Persist, Recovered, Role};
use crate::snapshot;
use comfreymill_types::time;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::mem;
use std::time::Duration;

const MAX_COMMIT_BATCH_BYTES: usize = 1024 * 1024;

/// Raft state machine of one replica.
#[derive(Debug)]
pub struct Replica {
    pub(super) cfg: Config,
    pub(super) voter: id::VoterId,
    pub(super) disk: id::DiskId,
    pub(super) rng: rand_chacha::ChaCha8Rng,
    pub(super) hard_state: entry::HardState,
    pub(super) state: State,
    pub(super) leader: Option<id::VoterId>,
    /// When the leader of the term last sent a message, or when the replica restarted.
    pub(super) leader_heard_at: Option<time::Monotonic>,
    pub(super) election_at: time::Monotonic,
    /// Leader that was heard last.
    pub(super) last_leader: Option<id::VoterId>,
    /// When this replica first asked for votes since it last heard a leader.
    pub(super) asked_at: Option<time::Monotonic>,
    pub(super) log: Log,
    pub(super) commit: id::Index,
    pub(super) delivered: id::Index,
    pub(super) snapshot: Option<snapshot::Snapshot>,
    pub(super) incoming: Option<IncomingSnapshot>,
    pub(super) outbox: Outbox,
    pub(super) halted: Option<Halt>,
    /// When entries were last proposed that are not sent yet; they are sent in one batch.
    pub(super) replicate_at: Option<time::Monotonic>,
    /// Oldest write that is not synced, and when it became the oldest.
    pub(super) oldest_write: Option<(id::Sequence, time::Monotonic)>,
    /// Time that recent writes took; a vote of another replica may take as long.
    pub(super) sync_time: Duration,
    /// First voters that accepted this replica as the founder, with their disks.
    pub(super) accepted: BTreeMap<id::VoterId, id::DiskId>,
    pub(super) founding_write: Option<id::Sequence>,
    pub(super) next_hello_at: time::Monotonic,
    /// When the newest announcement was sent; responses to older ones are ignored.
    pub(super) hello_sent_at: time::Monotonic,
    /// Replicas with an empty log that announced themselves.
    pub(super) newcomers: BTreeMap<id::VoterId, Newcomer>,
    /// What is remembered for the log only.
    pub(super) diagnosis: Diagnosis,
    reported: (Role, id::Term, Option<id::VoterId>),
}

impl Replica {
    /// Creates a replica from the state recovered from its data folder.
    ///
    /// The first actions install the recovered snapshot, if there is one.
    pub fn new(cfg: Config, recovered: Recovered, seed: u64, now: time::Monotonic) -> Self {
        let meta =
            recovered.snapshot.as_ref().map(|snapshot| snapshot.meta.clone()).unwrap_or_default();
        let mut log = Log::new(&meta);
        for entry in recovered.entries {
            log.push(entry);
        }
        let mut outbox = Outbox::new(log.last_index());
        if let Some(snapshot) = &recovered.snapshot {
            outbox.actions.push(Action::InstallSnapshot(snapshot.clone()));
        }
        let mut replica = Self {
            cfg,
            voter: recovered.voter,
            disk: recovered.disk,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            hard_state: recovered.hard_state,
            state: State::Follower,
            leader: None,
            // It may have answered heartbeats before its first term was synced.
            leader_heard_at: Some(now),
            election_at: now,
            last_leader: None,
            asked_at: None,
            log,
            commit: meta.index,
            delivered: meta.index,
            snapshot: recovered.snapshot,
            incoming: None,
            outbox,
            halted: None,
            replicate_at: None,
            oldest_write: None,
            sync_time: Duration::ZERO,
            accepted: BTreeMap::new(),
            founding_write: None,
            next_hello_at: now,
            hello_sent_at: now,
            newcomers: BTreeMap::new(),
            diagnosis: Diagnosis::new(now),
            reported: (Role::Newcomer, id::Term::ZERO, None),
        };
        replica.reset_election_timer(now);
        replica
    }

    /// Returns the actions since the previous call, in the order to carry them out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        if let Some(now) = self.replicate_at.take() {
            self.replicate_all(now);
        }
        self.issue_persist();
        self.deliver();
        self.report_role();
        mem::take(&mut self.outbox.actions)
    }

    /// Records that the writes up to `sequence` are synced.
    pub fn persisted(&mut self, now: time::Monotonic, sequence: id::Sequence) {
        if self.halted.is_some() {
            return;
        }
        self.outbox.persisted(sequence);
        self.note_sync(now, sequence);
        self.finish_founding(now);
        self.try_win(now);
        self.try_commit();
    }

    /// Returns the id of this replica.
    pub fn voter(&self) -> id::VoterId {
        self.voter
    }

    /// Returns the disk of this replica.
    pub fn disk(&self) -> id::DiskId {
        self.disk
    }

    /// Returns the current term.
    pub fn term(&self) -> id::Term {
        self.hard_state.term
    }

    /// Returns the index of the last entry known to be committed.
    pub fn commit_index(&self) -> id::Index {
        self.commit
    }

    /// Returns the index of the last entry passed on in [`Action::Commit`] or covered by
    /// [`Action::InstallSnapshot`].
    pub fn delivered_index(&self) -> id::Index {
        self.delivered
    }

    /// Returns the index of the last log entry, committed or not.
    pub fn last_index(&self) -> id::Index {
        self.log.last_index()
    }

    /// Returns the index of the last entry that the newest snapshot covers.
    pub fn snapshot_index(&self) -> id::Index {
        self.snapshot.as_ref().map_or(id::Index::ZERO, |snapshot| snapshot.meta.index)
    }

    /// Returns the number of entries delivered since the newest snapshot.
    pub fn entries_since_snapshot(&self) -> u64 {
        self.delivered.distance_from(self.snapshot_index())
    }

    /// Returns the number of entries kept in memory.
    pub fn entries_in_memory(&self) -> u64 {
        self.log.last_index().distance_from(self.log.base_index())
    }

    /// Returns the newest membership of the log, whether its entry is committed or not.
    pub fn membership(&self) -> &membership::Membership {
        self.log.history().current()
    }

    /// Returns the index of the entry that holds the newest membership.
    pub fn membership_index(&self) -> id::Index {
        self.log.history().current_index()
    }

    /// Returns why the replica halted, if it did.
    pub fn halted(&self) -> Option<Halt> {
        self.halted
    }

    /// Returns the leader of the term, if known.
    pub fn leader_hint(&self) -> Option<id::VoterId> {
        self.leader
    }

    /// Returns the term of the entry at `index`, if it is still in memory.
    pub fn term_at(&self, index: id::Index) -> Option<id::Term> {
        self.log.term_at(index)
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        match &self.state {
            State::Leader(_) => Role::Leader,
            State::Candidate { .. } | State::PreCandidate { .. } => Role::Candidate,
            State::Follower if self.log.is_empty() => Role::Newcomer,
            State::Follower if self.is_voter() => Role::Follower,
            State::Follower => Role::Learner,
        }
    }

    /// Returns the entry at `index`, if it is still in memory.
    pub fn entry(&self, index: id::Index) -> Option<&entry::Entry> {
        self.log.get(index)
    }

    /// Returns whether this replica, with its disk, is a voter of the newest membership.
    pub(super) fn is_voter(&self) -> bool {
        self.membership().is_voter(self.voter, self.disk)
    }

    /// Sends `body` to `to`, whose disk is `to_disk`.
    pub(super) fn send(&mut self, to: id::VoterId, to_disk: id::DiskId, body: message::Body) {
        let action = self.envelope(to, to_disk, body);
        self.outbox.actions.push(action);
    }

    /// Sends `body` once everything changed so far is synced.
    pub(super) fn send_synced(
        &mut self,
        to: id::VoterId,
        to_disk: id::DiskId,
        body: message::Body,
    ) {
        let action = self.envelope(to, to_disk, body);
        self.outbox.push_synced(action);
    }

    /// Halts the replica.
    pub(super) fn halt(&mut self, halt: Halt) {
        log::error!(target: "group", "replica {} halted: {halt}", self.voter);
        self.halted = Some(halt);
        self.state = State::Follower;
        self.leader = None;
        self.outbox.actions.push(Action::Halt(halt));
    }

    /// Restarts the election timer with a new random timeout.
    pub(super) fn reset_election_timer(&mut self, now: time::Monotonic) {
        let min = self.cfg.get_election_timeout_min();
        let max = self.cfg.get_election_timeout_max();
        self.election_at = now + self.rng.random_range(min..max);
    }

    fn envelope(&self, to: id::VoterId, to_disk: id::DiskId, body: message::Body) -> Action {
        let message = message::Message {
            term: self.hard_state.term.get(),
            disk: self.disk.get(),
            to_disk: to_disk.get(),
            body: Some(body),
        };
        Action::Send { to, message }
    }

    fn issue_persist(&mut self) {
        if !self.outbox.is_dirty() || self.halted.is_some() {
            return;
        }
        let last = self.log.last_index();
        let entries = match self.outbox.entries_from.take() {
            Some(from) => self.log.slice(from, last, usize::MAX),
            None => Vec::new(),
        };
        let persist = Persist {
            sequence: self.outbox.issue(last),
            hard_state: mem::take(&mut self.outbox.hard_state_changed).then_some(self.hard_state),
            entries,
            snapshot: self.outbox.snapshot.take(),
            reset: mem::take(&mut self.outbox.reset),
        };
        self.outbox.actions.insert(0, Action::Persist(persist));
    }

    fn deliver(&mut self) {
        let last = self.commit.min(self.outbox.durable());
        while self.delivered < last && self.halted.is_none() {
            let entries = self.log.slice(self.delivered.next(), last, MAX_COMMIT_BATCH_BYTES);
            let Some(newest) = entries.last() else { break };
            self.delivered = newest.index;
            self.outbox.actions.push(Action::Commit { entries });
        }
    }

    fn report_role(&mut self) {
        let current = (self.role(), self.term(), self.leader);
        if current == self.reported {
            return;
        }
        self.reported = current;
        let (role, term, leader) = current;
        self.outbox.actions.push(Action::Role { role, term, leader });
    }
}
