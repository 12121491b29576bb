use crate::slow_disk::SlowDisk;
use bytes::Bytes;
use comfreymill_group::{entry, id, message, replica, store};
use comfreymill_types::time;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};
use std::{io, path, thread};

/// Number of commands proposed together under a constant load.
pub(crate) const BATCH_COMMANDS: u64 = 4;

const MAX_EVENTS_PER_ITERATION: usize = 512;

/// Event sent to a member.
pub(crate) enum Event {
    /// Message from another member.
    Message(id::VoterId, message::Message),
    /// Result of writes.
    Written(store::Completion),
    /// Stop immediately, like a killed process.
    Stop,
}

/// Load settings and results, shared by all members.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    /// Number of commands that the leader keeps in flight, if `commands_per_second` is zero.
    pub(crate) window: AtomicU64,
    /// Commands per second that the leader proposes under a constant load, in batches of
    /// [`BATCH_COMMANDS`]; zero for no constant load.
    pub(crate) commands_per_second: AtomicU64,
    /// Delay added to each sync, in microseconds.
    pub(crate) sync_delay_micros: AtomicU64,
    /// Length of a command, in bytes.
    pub(crate) command_bytes: AtomicU64,
    /// Number of commands that were committed on a leader.
    pub(crate) committed: AtomicU64,
    /// Total length of the sent messages, in bytes.
    pub(crate) sent_bytes: AtomicU64,
    /// Voter id of the serving leader, or zero if there is none.
    pub(crate) leader: AtomicU64,
    /// Whether members take snapshots, which truncate their logs.
    pub(crate) takes_snapshots: AtomicBool,
}

/// Event queues of all members.
pub(crate) type Queues = BTreeMap<id::VoterId, mpsc::Sender<Event>>;

/// Member of the group, running on its own thread.
pub(crate) struct Member {
    voter: id::VoterId,
    replica: replica::Replica,
    writer: store::Thread,
    queues: Queues,
    shared: Arc<Shared>,
    started: Instant,
    outstanding: u64,
    next_batch_at: time::Monotonic,
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
        let sync_delay = Duration::from_micros(shared.sync_delay_micros.load(Ordering::Relaxed));
        let disk = SlowDisk::open(folder, sync_delay)?;
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
        let (outstanding, next_batch_at) = (0, time::Monotonic::ZERO);
        let member =
            Self { voter, replica, writer, queues, shared, started, outstanding, next_batch_at };
        thread::Builder::new().name(format!("member-{voter}")).spawn(move || member.run(&rx))
    }

    fn run(mut self, rx: &mpsc::Receiver<Event>) {
        loop {
            let first = match rx.recv_timeout(self.max_wait()) {
                Ok(event) => Some(event),
                Err(mpsc::RecvTimeoutError::Timeout) => None,
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
            };
            let events = first.into_iter().chain(rx.try_iter().take(MAX_EVENTS_PER_ITERATION));
            for event in events.collect::<Vec<_>>() {
                match event {
                    Event::Message(from, message) => self.replica.step(self.now(), from, message),
                    Event::Written(store::Completion::Synced(sequence)) => {
                        self.replica.persisted(self.now(), sequence);
                    }
                    Event::Written(store::Completion::Failed(_)) | Event::Stop => {
                        self.clear_leader();
                        return;
                    }
                }
            }
            self.replica.tick(self.now());
            self.execute_actions();
            self.propose();
            self.execute_actions();
        }
    }

    /// Returns the maximum time to wait for an event.
    fn max_wait(&self) -> Duration {
        let now = self.now();
        let wait = self.replica.next_tick_at().since(now);
        let is_constant_load = self.shared.commands_per_second.load(Ordering::Relaxed) > 0;
        if is_constant_load && self.replica.is_ready() {
            wait.min(self.batch_interval())
        } else {
            wait
        }
    }

    fn batch_interval(&self) -> Duration {
        let commands_per_second = self.shared.commands_per_second.load(Ordering::Relaxed).max(1);
        Duration::from_micros(1_000_000 * BATCH_COMMANDS / commands_per_second)
    }

    fn now(&self) -> time::Monotonic {
        time::Monotonic::ZERO + self.started.elapsed()
    }

    fn clear_leader(&self) {
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
        if self.shared.commands_per_second.load(Ordering::Relaxed) == 0 {
            let window = self.shared.window.load(Ordering::Relaxed);
            return window.saturating_sub(self.outstanding);
        }
        if now < self.next_batch_at {
            return 0;
        }
        self.next_batch_at = now.max(self.next_batch_at + self.batch_interval());
        BATCH_COMMANDS
    }

    fn execute_actions(&mut self) {
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
