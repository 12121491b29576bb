use std::collections::{BTreeMap, HashMap};

use comfreymill_batch::action;
use comfreymill_batch::config;
use comfreymill_batch::event;
use comfreymill_batch::scheduler;
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::time;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{Answer, Behaviour, FakeLedger, FakeWorker, Faults, environment};

const STEP_MILLIS: u64 = 100;
const HEARTBEAT_MILLIS: u64 = 1_000;
const COMMIT_MILLIS: u64 = 200;

/// Message in transit.
#[derive(Clone, Debug)]
enum Message {
    ToLeader { worker: usize, sent_millis: u64, heartbeat: Box<event::Heartbeat> },
    ToWorker(Answer),
}

/// Simulation of a scheduler with its ledger, workers and network, in simulated time.
pub(crate) struct Simulation {
    pub(crate) scheduler: scheduler::Scheduler,
    pub(crate) ledger: FakeLedger,
    pub(crate) workers: Vec<FakeWorker>,
    pub(crate) faults: Faults,
    pub(crate) millis: u64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) behaviours: HashMap<id::TaskId, Behaviour>,
    cfg: config::Config,
    clock_ppm: u64,
    term: u64,
    network: BTreeMap<(u64, u64), Message>,
    messages: u64,
    /// Attempt that did each unit of the tasks that may run at most once.
    units_done_once: HashMap<(id::TaskId, u32), id::AttemptId>,
}

impl Simulation {
    pub(crate) fn new(cfg: config::Config, workers: Vec<FakeWorker>, rng: ChaCha8Rng) -> Self {
        let mut simulation = Self {
            scheduler: scheduler::Scheduler::new(cfg.clone(), time::Monotonic::ZERO),
            ledger: FakeLedger::default(),
            workers,
            faults: Faults::default(),
            millis: 0,
            rng,
            behaviours: HashMap::new(),
            cfg,
            clock_ppm: 1_000_000,
            term: 1,
            network: BTreeMap::new(),
            messages: 0,
            units_done_once: HashMap::new(),
        };
        simulation.apply_document();
        simulation
    }

    /// Submits a task whose program has the given behaviour.
    pub(crate) fn submit(&mut self, view: event::TaskView, behaviour: Behaviour) {
        self.behaviours.insert(view.id, behaviour);
        self.ledger.tasks.insert(view.id, view.clone());
        self.handle(event::Event::TaskAdded(Box::new(view)));
    }

    pub(crate) fn cancel(&mut self, id: id::TaskId) {
        if let Some(event) = self.ledger.cancel(id) {
            self.handle(event);
        }
    }

    /// Replaces the leader by a new one that knows only the ledger and the document.
    pub(crate) fn change_leader(&mut self) {
        self.ledger.pending.clear();
        self.term += 1;
        self.clock_ppm = self.rng.random_range(999_600..=1_000_400);
        let now = self.now();
        self.scheduler = scheduler::Scheduler::new(self.cfg.clone(), now);
        self.apply_document();
        let view = self.ledger.view();
        self.handle(view);
    }

    pub(crate) fn run_for(&mut self, millis: u64) {
        let end = self.millis + millis;
        while self.millis < end {
            self.step();
        }
    }

    /// Runs one step of simulated time and checks the invariants at its end.
    pub(crate) fn step(&mut self) {
        self.millis += STEP_MILLIS;
        self.inject_faults();
        self.work();
        self.send_heartbeats();
        self.deliver();
        self.handle(event::Event::Tick);
        self.commit();
        self.check();
    }

    /// Returns the time by the leader's clock.
    pub(crate) fn now(&self) -> time::Monotonic {
        time::Monotonic::from_micros(self.millis * 1_000 * self.clock_ppm / 1_000_000)
    }

    pub(crate) fn handle(&mut self, event: event::Event) {
        let now = self.now();
        self.scheduler.handle(now, event);
        for action in self.scheduler.take_actions() {
            let due = self.millis + self.rng.random_range(0..=COMMIT_MILLIS);
            let after_last = self.ledger.pending.back().map_or(0, |last| last.0);
            self.ledger.pending.push_back((due.max(after_last), action));
        }
    }

    fn apply_document(&mut self) {
        let stage = document::Stage::Production;
        let environment = Box::new(environment());
        let now = self.now();
        self.scheduler.handle(now, event::Event::DocumentInForce { stage, environment });
    }

    fn chance(&mut self, in_thousand: u32) -> bool {
        in_thousand > 0 && self.rng.random_range(0..1_000) < in_thousand
    }

    fn inject_faults(&mut self) {
        if self.chance(self.faults.leader_change) {
            self.change_leader();
        }
        for i in 0..self.workers.len() {
            if self.chance(self.faults.worker_restart) {
                self.workers[i].restart();
            }
            if self.chance(self.faults.partition) {
                let span = self.rng.random_range(1_000..40_000);
                self.workers[i].partitioned_until_millis = self.millis + span;
            }
        }
    }

    fn work(&mut self) {
        let behaviours = &self.behaviours;
        for worker in &mut self.workers {
            worker.enforce_lease(self.millis);
            for (attempt, unit) in worker.work(STEP_MILLIS, |task| behaviours[&task]) {
                let once = self.ledger.tasks.get(&attempt.task);
                if once.is_some_and(|task| task.class.as_str() == "certificate") {
                    let earlier = self.units_done_once.insert((attempt.task, unit), attempt);
                    assert_eq!(earlier, None, "unit {unit} of {attempt} was done before");
                }
            }
        }
    }

    fn send_heartbeats(&mut self) {
        for i in 0..self.workers.len() {
            if self.workers[i].next_heartbeat_millis > self.millis {
                continue;
            }
            self.workers[i].next_heartbeat_millis = self.millis + HEARTBEAT_MILLIS;
            let heartbeat = Box::new(self.workers[i].heartbeat());
            let sent_millis = self.millis;
            self.send(i, &Message::ToLeader { worker: i, sent_millis, heartbeat });
        }
    }

    fn send(&mut self, worker: usize, message: &Message) {
        let cut = self.workers[worker].partitioned_until_millis > self.millis;
        if cut || self.chance(self.faults.message_loss) {
            return;
        }
        let copies = 1 + usize::from(self.chance(self.faults.message_duplication));
        for _ in 0..copies {
            let due = self.millis + self.rng.random_range(0..=self.faults.delay_millis);
            self.messages += 1;
            self.network.insert((due, self.messages), message.clone());
        }
    }

    fn deliver(&mut self) {
        while let Some((key, _)) = self.network.first_key_value() {
            if key.0 > self.millis {
                return;
            }
            let Some((_, message)) = self.network.pop_first() else { return };
            match message {
                Message::ToLeader { worker, sent_millis, heartbeat } => {
                    self.answer(worker, sent_millis, *heartbeat);
                }
                Message::ToWorker(answer) => self.deliver_answer(&answer),
            }
        }
    }

    fn answer(&mut self, worker: usize, sent_millis: u64, heartbeat: event::Heartbeat) {
        let name = heartbeat.worker.clone();
        let (incarnation, sequence) = (heartbeat.incarnation, heartbeat.sequence);
        self.handle(event::Event::WorkerHeartbeat(Box::new(heartbeat)));
        let desired = self.scheduler.desired(&name, incarnation, sequence);
        let Some(assignments) = desired else { return };
        let answer = Answer {
            worker,
            incarnation,
            term: self.term,
            sequence,
            sent_millis,
            lease: self.scheduler.get_lease(),
            assignments,
        };
        self.send(worker, &Message::ToWorker(answer));
    }

    fn deliver_answer(&mut self, answer: &Answer) {
        self.workers[answer.worker].enforce_lease(self.millis);
        for assignment in self.workers[answer.worker].accept_answer(answer) {
            let known = self.ledger.tasks.get(&assignment.attempt.task);
            if let Some(task) = known.filter(|t| t.last_attempt == assignment.attempt.number) {
                assert_eq!(
                    assignment.checkpoint, task.checkpoint,
                    "{} begins from the recorded checkpoint",
                    assignment.attempt
                );
            }
        }
    }

    fn commit(&mut self) {
        while let Some((due, _)) = self.ledger.pending.front() {
            if *due > self.millis {
                return;
            }
            let Some((_, action)) = self.ledger.pending.pop_front() else { return };
            let lost = self.chance(self.faults.proposal_loss);
            let event = if lost {
                Some(event::Event::ProposalLost(Box::new(action)))
            } else {
                self.ledger.commit(action)
            };
            if let Some(event) = event {
                self.handle(event);
            }
        }
    }

    /// Checks the invariants on the workers: none holds more than its capacity, and no task runs
    /// on two workers at once.
    fn check(&mut self) {
        let mut running: HashMap<id::TaskId, &id::WorkerName> = HashMap::new();
        for worker in &self.workers {
            let load = worker.load();
            assert!(load.fits_in(&worker.capacity), "{} holds {load}", worker.name);
            let running_attempts =
                worker.runs.values().filter(|run| run.begun && !run.state.is_ended());
            for run in running_attempts {
                let earlier = running.insert(run.attempt.task, &worker.name);
                assert_eq!(earlier, None, "{} runs twice, also on {}", run.attempt, worker.name);
            }
            let reserved = self.scheduler.get_reserved(&worker.name);
            let over = reserved.filter(|reserved| !reserved.fits_in(&worker.capacity));
            assert!(over.is_none(), "{} was given {over:?}", worker.name);
        }
    }

    /// Returns whether an attempt of the task runs on any worker.
    pub(crate) fn is_running(&self, id: id::TaskId) -> bool {
        self.workers
            .iter()
            .flat_map(|worker| worker.runs.values())
            .any(|run| run.attempt.task == id && run.begun && !run.state.is_ended())
    }

    /// Returns why the ledger holds the task as parked, if it does.
    pub(crate) fn park_reason(&self, id: id::TaskId) -> Option<&action::ParkReason> {
        self.ledger.tasks.get(&id)?.parked.as_ref()
    }
}
