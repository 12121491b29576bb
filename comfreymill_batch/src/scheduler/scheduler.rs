use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use comfreymill_types::id;
use comfreymill_types::time;

use crate::action;
use crate::catalog;
use crate::config;
use crate::decision;
use crate::event;
use crate::fleet;
use crate::interference;
use crate::queue;
use crate::task;

/// Heartbeat periods without a heartbeat after which a worker counts as silent.
const SILENT_PERIODS: u32 = 3;

/// Decides where and when tasks run.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) cfg: config::Config,
    pub(super) now: time::Monotonic,
    pub(super) leading_since: time::Monotonic,
    /// Whether the tasks that waited while workers were still unknown were tried again.
    pub(super) is_settling_over: bool,
    pub(super) scanned_at: time::Monotonic,
    pub(super) catalog: catalog::Catalog,
    pub(super) fleet: fleet::Fleet,
    pub(super) tasks: HashMap<id::TaskId, task::Task>,
    pub(super) jobs: HashMap<id::JobId, task::JobStats>,
    pub(super) queue: queue::Queue,
    pub(super) delayed: BTreeSet<(time::Monotonic, id::TaskId)>,
    /// Parked tasks that can run once a worker or quota is large enough.
    pub(super) parked_for_size: BTreeSet<id::TaskId>,
    /// Tasks that take a checkpoint before a stop, by the time at which they are stopped without.
    pub(super) checkpoints_due: BTreeSet<(time::Monotonic, id::TaskId)>,
    /// Workers on which room is being freed, by the urgent task that it is for.
    pub(super) claims: BTreeMap<id::TaskId, fleet::WorkerIndex>,
    /// Workers that are quarantined or being probed.
    pub(super) suspended: BTreeSet<fleet::WorkerIndex>,
    /// Number of active attempts by job and rack.
    pub(super) spread: HashMap<(id::JobId, id::RackName), u32>,
    pub(super) model: interference::Model,
    pub(super) history: decision::History,
    pub(super) actions: Vec<action::Action>,
    pub(super) rng: fleet::Rng,
}

impl Scheduler {
    /// Creates a scheduler without documents, workers and tasks.
    pub fn new(cfg: config::Config, now: time::Monotonic) -> Self {
        let history = decision::History::new(cfg.get_records_per_task());
        let rng = fleet::Rng::new(cfg.get_seed());
        Self {
            cfg,
            now,
            leading_since: now,
            is_settling_over: false,
            scanned_at: now,
            catalog: catalog::Catalog::default(),
            fleet: fleet::Fleet::default(),
            tasks: HashMap::new(),
            jobs: HashMap::new(),
            queue: queue::Queue::default(),
            delayed: BTreeSet::new(),
            parked_for_size: BTreeSet::new(),
            checkpoints_due: BTreeSet::new(),
            claims: BTreeMap::new(),
            suspended: BTreeSet::new(),
            spread: HashMap::new(),
            model: interference::Model::default(),
            history,
            actions: Vec::new(),
            rng,
        }
    }

    /// Handles one event at `now`, then places waiting tasks.
    pub fn handle(&mut self, now: time::Monotonic, event: event::Event) {
        self.now = self.now.max(now);
        self.apply(event);
        self.place_waiting();
    }

    /// Returns the actions since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<action::Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the records of decisions since the last call, in order.
    pub fn take_records(&mut self) -> Vec<decision::Record> {
        self.history.take_new_records()
    }

    /// Returns the settings.
    pub fn get_config(&self) -> &config::Config {
        &self.cfg
    }

    fn apply(&mut self, event: event::Event) {
        match event {
            event::Event::Tick => self.on_tick(),
            event::Event::BecameLeader { tasks, attempts } => self.on_leader(tasks, &attempts),
            event::Event::DocumentInForce { stage, environment } => {
                self.on_document(stage, &environment);
            }
            event::Event::TaskAdded(view) => self.on_task_added(*view),
            event::Event::TaskCancelled(task) => self.on_cancelled(task),
            event::Event::AttemptStarted(view) => self.on_started(&view),
            event::Event::CheckpointRecorded { attempt, checkpoint } => {
                self.on_checkpoint_recorded(attempt, checkpoint);
            }
            event::Event::AttemptEnded { attempt, outcome, checkpoint, park } => {
                self.on_ended(attempt, outcome, checkpoint, park);
            }
            event::Event::TaskParked { task, reason } => self.on_parked(task, reason),
            event::Event::TaskUnparked(task) => self.on_unparked(task),
            event::Event::ProposalLost(action) => self.on_proposal_lost(*action),
            event::Event::WorkerHeartbeat(heartbeat) => self.on_heartbeat(&heartbeat),
            event::Event::ExecutorLatency(report) => self.on_latency(&report),
            event::Event::WorkerLeaving(worker) => self.on_leaving(&worker),
        }
    }

    /// Returns the time without a heartbeat after which a worker is given no new tasks.
    pub(super) fn get_silence_limit(&self) -> Duration {
        self.cfg.get_heartbeat_period() * SILENT_PERIODS
    }

    pub(super) fn record(
        &mut self,
        task: id::TaskId,
        verdict: decision::Verdict,
        reason: String,
        remedy: String,
    ) {
        self.history.add(decision::Record { at: self.now, task, verdict, reason, remedy });
    }
}
