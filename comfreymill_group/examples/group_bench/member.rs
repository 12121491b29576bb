use crate::slow_disk::SlowDisk;
use bytes::Bytes;
use comfreymill_group::{entry, id, message, replica, store};
use comfreymill_types::time;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};
use std::{io, path, thread};

/// Commands proposed together under a paced load.
pub(crate) const PACED_GROUP: u64 = 4;

const MAX_EVENTS_PER_TURN: usize = 512;

/// What a member of the group under measurement is told.
pub(crate) enum Event {
    /// Message of another member.
    Message(id::VoterId, message::Message),
    /// Outcome of writes.
    Written(store::Completion),
    /// End at once, as a killed process does.
    Kill,
}

/// Load and results that all members share.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    /// Commands that the leader keeps proposed and not committed.
    pub(crate) window: AtomicU64,
    /// Commands that the leader proposes in a second instead, in groups of [`PACED_GROUP`].
    pub(crate) pace: AtomicU64,
    /// Microseconds that each sync takes longer.
    pub(crate) sync_micros: AtomicU64,
    /// Length of a command.
    pub(crate) command_bytes: AtomicU64,
    /// Commands that a leader saw committed.
    pub(crate) committed: AtomicU64,
    /// Bytes of messages sent.
    pub(crate) sent_bytes: AtomicU64,
    /// Id of the serving leader, or 0.
    pub(crate) leader: AtomicU64,
    /// Whether members snapshot and so cut their logs.
    pub(crate) takes_snapshots: AtomicBool,
}

/// Queues of all members.
pub(crate) type Queues = BTreeMap<id::VoterId, mpsc::Sender<Event>>;

/// One member, on a thread of its own.
pub(crate) struct Member {
    voter: id::VoterId,
    replica: replica::Replica,
    writer: store::Thread,
    queues: Queues,
    shared: Arc<Shared>,
    started: Instant,
    outstanding: u64,
    next_group_at: time::Monotonic,
}

impl Member {
    /// Starts the member whose files are in `folder`.
    pub(crate) fn spawn(
        voter: id::VoterId,
        folder: &path::Path,
        queues: &Queues,
        rx: mpsc::Receiver<Event>,
        shared: &Arc<Shared>,
    ) -> io::Result<thread::JoinHandle<()>> {
        let sync = Duration::from_micros(shared.sync_micros.load(Ordering::Relaxed));
        let disk = SlowDisk::open(folder, sync)?;
        let options = store::Options::new(id::GroupId::new(1), voter);
        let (store, recovered) = store::Store::open(disk, options).map_err(io::Error::other)?;
        let tx = queues[&voter].clone();
        let writer = store::Thread::spawn(store, move |completion| {
            tx.send(Event::Written(completion)).ok();
        })?;
        let voters = queues.keys().copied().collect();
        let cfg = replica::Config::new(replica::Start::Found { voters });
        let seed = u64::from(std::process::id()) + voter.get();
        let replica = replica::Replica::new(cfg, recovered, seed, time::Monotonic::ZERO);
        let (queues, shared) = (queues.clone(), Arc::clone(shared));
        let started = Instant::now();
        let (outstanding, next_group_at) = (0, time::Monotonic::ZERO);
        let member =
            Self { voter, replica, writer, queues, shared, started, outstanding, next_group_at };
        thread::Builder::new().name(format!("member-{voter}")).spawn(move || member.run(&rx))
    }

    fn run(mut self, rx: &mpsc::Receiver<Event>) {
        loop {
            let first = match rx.recv_timeout(self.idle_time()) {
                Ok(event) => Some(event),
                Err(mpsc::RecvTimeoutError::Timeout) => None,
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
            };
            let events = first.into_iter().chain(rx.try_iter().take(MAX_EVENTS_PER_TURN));
            for event in events.collect::<Vec<_>>() {
                match event {
                    Event::Message(from, message) => self.replica.step(self.now(), from, message),
                    Event::Written(store::Completion::Synced(sequence)) => {
                        self.replica.persisted(self.now(), sequence);
                    }
                    Event::Written(store::Completion::Failed(_)) | Event::Kill => {
                        self.leave();
                        return;
                    }
                }
            }
            self.replica.tick(self.now());
            self.carry_out();
            self.propose();
            self.carry_out();
        }
    }

    /// Time until something is due without an event.
    fn idle_time(&self) -> Duration {
        let now = self.now();
        let wait = self.replica.next_tick_at().since(now);
        let is_paced = self.shared.pace.load(Ordering::Relaxed) > 0;
        if is_paced && self.replica.is_ready() { wait.min(self.group_interval()) } else { wait }
    }

    fn group_interval(&self) -> Duration {
        let pace = self.shared.pace.load(Ordering::Relaxed).max(1);
        Duration::from_micros(1_000_000 * PACED_GROUP / pace)
    }

    fn now(&self) -> time::Monotonic {
        time::Monotonic::ZERO + self.started.elapsed()
    }

    fn leave(&self) {
        let own = self.voter.get();
        let leader = &self.shared.leader;
        leader.compare_exchange(own, 0, Ordering::Relaxed, Ordering::Relaxed).ok();
    }

    fn propose(&mut self) {
        let now = self.now();
        if !(self.replica.is_ready() && self.replica.lease_valid(now)) {
            self.outstanding = 0;
            return;
        }
        self.shared.leader.store(self.voter.get(), Ordering::Relaxed);
        let count = self.due_commands(now);
        if count == 0 {
            return;
        }
        let bytes = self.shared.command_bytes.load(Ordering::Relaxed);
        let command = Bytes::from(vec![7; usize::try_from(bytes).unwrap_or(0)]);
        let commands = (0..count).map(|_| command.clone()).collect();
        if self.replica.propose(now, commands).is_ok() {
            self.outstanding += count;
        }
    }

    fn due_commands(&mut self, now: time::Monotonic) -> u64 {
        if self.shared.pace.load(Ordering::Relaxed) == 0 {
            let window = self.shared.window.load(Ordering::Relaxed);
            return window.saturating_sub(self.outstanding);
        }
        if now < self.next_group_at {
            return 0;
        }
        self.next_group_at = now.max(self.next_group_at + self.group_interval());
        PACED_GROUP
    }

    fn carry_out(&mut self) {
        for action in self.replica.take_actions() {
            match action {
                replica::Action::Persist(write) => self.writer.write(write),
                replica::Action::Send { to, message } => {
                    let bytes = message.to_bytes();
                    self.shared.sent_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                    let decoded = message::Message::from_bytes(bytes);
                    if let (Ok(decoded), Some(queue)) = (decoded, self.queues.get(&to)) {
                        queue.send(Event::Message(self.voter, decoded)).ok();
                    }
                }
                replica::Action::Commit { entries } => self.apply(&entries),
                _ => {}
            }
        }
    }

    fn apply(&mut self, entries: &[entry::Entry]) {
        let is_data = |entry: &&entry::Entry| matches!(entry.payload, entry::Payload::Data(_));
        let count = entries.iter().filter(is_data).count() as u64;
        if self.replica.role() == replica::Role::Leader {
            self.outstanding = self.outstanding.saturating_sub(count);
            self.shared.committed.fetch_add(count, Ordering::Relaxed);
        }
        let is_due = self.replica.entries_since_snapshot() >= 10_000;
        if is_due && self.shared.takes_snapshots.load(Ordering::Relaxed) {
            let index = self.replica.delivered_index();
            self.replica.snapshot_taken(index, Bytes::from(vec![1; 100_000]));
        }
    }
}
