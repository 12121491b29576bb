use bytes::Bytes;
use comfreymill_group::{entry, id, message, replica, store};
use comfreymill_types::time;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};
use std::{io, path, thread};

const TICK: Duration = Duration::from_millis(5);
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
        let disk = store::FolderDisk::open(folder)?;
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
        let member = Self { voter, replica, writer, queues, shared, started, outstanding: 0 };
        thread::Builder::new().name(format!("member-{voter}")).spawn(move || member.run(&rx))
    }

    fn run(mut self, rx: &mpsc::Receiver<Event>) {
        loop {
            let first = match rx.recv_timeout(TICK) {
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
        let window = self.shared.window.load(Ordering::Relaxed);
        let bytes = self.shared.command_bytes.load(Ordering::Relaxed);
        let count = window.saturating_sub(self.outstanding);
        if count == 0 {
            return;
        }
        let command = Bytes::from(vec![7; usize::try_from(bytes).unwrap_or(0)]);
        let commands = (0..count).map(|_| command.clone()).collect();
        if self.replica.propose(now, commands).is_ok() {
            self.outstanding += count;
        }
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
