use crate::schedule::file_store::FileStore;
use crate::schedule::machine::Machine;
use comfreymill_group::{entry, id, membership, replica, snapshot};
use comfreymill_types::time;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// State on a node's disk that survives a crash.
#[derive(Clone, Debug, Default)]
pub(crate) struct DurableState {
    pub(crate) disk: id::DiskId,
    pub(crate) hard_state: entry::HardState,
    pub(crate) snapshot: Option<snapshot::Snapshot>,
    pub(crate) entries: Vec<entry::Entry>,
}

impl DurableState {
    /// Applies a write, as the store does.
    pub(crate) fn write(&mut self, write: &replica::Persist) {
        if let Some(hard_state) = write.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = &write.snapshot {
            let index = snapshot.meta.index;
            if write.reset {
                self.entries.clear();
            }
            self.entries.retain(|entry| entry.index > index);
            self.snapshot = Some(snapshot.clone());
        }
        for entry in &write.entries {
            self.entries.retain(|stored| stored.index < entry.index);
            let base =
                self.snapshot.as_ref().map_or(id::Index::ZERO, |snapshot| snapshot.meta.index);
            let last = self.entries.last().map_or(base, |stored| stored.index);
            assert_eq!(entry.index, last.next(), "gap in the stored log");
            self.entries.push(entry.clone());
        }
    }
}

/// One replica with its disk, clock and state machine.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) voter: id::VoterId,
    pub(crate) start: replica::Start,
    pub(crate) durable: DurableState,
    /// Log store that is checked against `durable` on each start.
    pub(crate) files: Option<FileStore>,
    /// Unsynced writes, with the time of their sync.
    pub(crate) unsynced: VecDeque<(u64, replica::Persist)>,
    pub(crate) replica: Option<replica::Replica>,
    pub(crate) machine: Machine,
    pub(crate) halted: bool,
    /// Last observed commit index since the start of the replica.
    pub(crate) commit: id::Index,
    /// Whether syncs never complete.
    pub(crate) disk_hangs: bool,
    /// Shortest and longest sync in microseconds, if the disk differs from the others.
    pub(crate) sync_micros: Option<(u64, u64)>,
    /// Time until which the process doesn't run.
    pub(crate) stalled_until: u64,
    clock_offset_micros: u64,
    clock_rate_ppm: u64,
    started_at: u64,
}

impl Node {
    /// Creates a node that is not running.
    pub(crate) fn new(voter: id::VoterId, disk: id::DiskId, start: replica::Start) -> Self {
        Self {
            voter,
            start,
            durable: DurableState { disk, ..DurableState::default() },
            files: None,
            unsynced: VecDeque::new(),
            replica: None,
            machine: Machine::default(),
            halted: false,
            commit: id::Index::ZERO,
            disk_hangs: false,
            sync_micros: None,
            stalled_until: 0,
            clock_offset_micros: 0,
            clock_rate_ppm: 1_000_000,
            started_at: 0,
        }
    }

    /// Returns the node's clock at `now`.
    pub(crate) fn clock(&self, now: u64) -> time::Monotonic {
        let elapsed = (now - self.started_at) * self.clock_rate_ppm / 1_000_000;
        time::Monotonic::from_micros(self.clock_offset_micros + elapsed)
    }

    /// Starts the replica from the state on the disk, with a random clock offset and rate.
    pub(crate) fn start(&mut self, rng: &mut ChaCha8Rng, now: u64, cfg: replica::Config) {
        let drift = u64::from(cfg.get_clock_drift_ppm());
        let rates = [1_000_000 - drift, 1_000_000, 1_000_000 + drift];
        self.clock_rate_ppm = rates[rng.random_range(0..rates.len())];
        self.clock_offset_micros = rng.random_range(0..10_000_000);
        self.started_at = now;
        if let Some(files) = &mut self.files {
            files.reopen(&self.durable);
        }
        let recovered = replica::Recovered {
            voter: self.voter,
            disk: self.durable.disk,
            hard_state: self.durable.hard_state,
            snapshot: self.durable.snapshot.clone(),
            entries: self.durable.entries.clone(),
        };
        self.machine = Machine::default();
        self.halted = false;
        self.commit = id::Index::ZERO;
        self.stalled_until = now;
        let clock = self.clock(now);
        self.replica = Some(replica::Replica::new(cfg, recovered, rng.random(), clock));
    }

    /// Kills the replica. A random number of its unsynced writes, in order, reaches the disk.
    pub(crate) fn crash(&mut self, rng: &mut ChaCha8Rng) {
        let survivors = rng.random_range(0..=self.unsynced.len());
        for (_, write) in std::mem::take(&mut self.unsynced).into_iter().take(survivors) {
            self.write(&write);
        }
        self.replica = None;
    }

    /// Writes to the disk and to the log store, if used.
    pub(crate) fn write(&mut self, write: &replica::Persist) {
        self.durable.write(write);
        if let Some(files) = &mut self.files {
            files.write(write);
        }
    }

    /// Returns when a write issued at `now` is synced, if a sync takes `sync` microseconds. Writes that
    /// are issued during a sync share the next one.
    pub(crate) fn next_sync_at(&self, now: u64, sync: u64) -> u64 {
        let ends = (self.unsynced.front(), self.unsynced.back());
        let (Some((running, _)), Some((newest, _))) = ends else { return now + sync };
        if newest > running { *newest } else { running + sync }
    }

    /// Returns the newest membership on the disk, if there is one.
    pub(crate) fn durable_membership(&self) -> Option<&membership::Membership> {
        let of_snapshot = self.durable.snapshot.as_ref().map(|snapshot| &snapshot.meta.membership);
        let entries = self.durable.entries.iter().rev();
        let mut of_log = entries.filter_map(|entry| match &entry.payload {
            entry::Payload::Membership(members) => Some(members),
            _ => None,
        });
        of_log.next().or(of_snapshot)
    }

    /// Returns whether the replica is started and not halted.
    pub(crate) fn is_running(&self) -> bool {
        self.replica.is_some() && !self.halted
    }
}
