//! Test harness: a leader's scheduler with its replicated state, and simulated worker answers.

use std::collections::BTreeMap;
use std::time::Duration;

use comfreymill_jobs::scheduler::{
    Acknowledgement, Answer, Config, Order, PollAnswer, Scheduler, StartAnswer,
};
use comfreymill_jobs::state::{Command, Effect, State, Submission, ZoneOrder};
use comfreymill_jobs::{id, job, routes, worker};
use comfreymill_types::time::Monotonic;

pub(crate) const LEASE: Duration = Duration::from_secs(6);
pub(crate) const KEY: id::JobKey = id::JobKey::new(0x5c0e_7a21_d94b_36f8);
const UNIX: Duration = Duration::from_secs(1_700_000_000);

pub(crate) fn queue(name: &str, prefix: &str) -> routes::Queue {
    routes::Queue {
        name: name.to_owned(),
        host: "jobs.example".to_owned(),
        prefix: prefix.to_owned(),
        pool: "workers".to_owned(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.5,
        target_latency_ms: 500,
        timeout_ms: 3_000,
        advice: None,
    }
}

pub(crate) fn pool() -> routes::Pool {
    routes::Pool { name: "workers".to_owned(), is_guarded: true, is_standby: false }
}

pub(crate) fn step(count: u16) -> job::StepSpec {
    let needs = worker::Resources { cpu_milli: 2_000, mem_mb: 1_000, gpus: 0 };
    job::StepSpec { count, needs, estimate_ms: 800, ..job::StepSpec::default() }
}

pub(crate) fn spec(steps: Vec<job::StepSpec>) -> job::JobSpec {
    job::JobSpec { payload: "work".to_owned(), steps, schedule: None }
}

pub(crate) fn task(step: u16, index: u16) -> id::TaskId {
    id::StepId { job: KEY, occurrence: 0, step }.task(index)
}

/// Returns the announcement of a worker with room for eight tasks.
pub(crate) fn announcement(name: &str, born: u64, sequence: u64) -> worker::Announcement {
    let number = name.bytes().map(u64::from).sum::<u64>() % 200;
    worker::Announcement {
        name: id::WorkerName::new(name),
        born_unix_ms: born,
        sequence,
        address: format!("10.0.0.{number}:80").parse().expect("an address"),
        pool: "workers".to_owned(),
        zone: "south".to_owned(),
        capacity: worker::Resources { cpu_milli: 16_000, mem_mb: 8_000, gpus: 0 },
        labels: vec!["a".to_owned(), format!("rack-{name}")],
        leaving_in: None,
        clock_ms: Some(5_000),
        machine: None,
    }
}

/// Leader with its replicated state; commands are committed at once unless `holds_commits` is set.
pub(crate) struct Leader {
    pub(crate) state: State,
    pub(crate) scheduler: Scheduler,
    pub(crate) now: Monotonic,
    cfg: Config,
    /// Whether commands wait instead of being committed.
    pub(crate) holds_commits: bool,
    held_commands: Vec<Command>,
    index: u64,
    sequences: BTreeMap<String, u64>,
    pub(crate) orders: Vec<Order>,
}

impl Leader {
    /// Creates the first leader of a new group, with routes to one pool.
    pub(crate) fn new() -> Self {
        Self::with_config(Config::new(LEASE))
    }

    /// Creates the first leader of a new group with parameters of its own.
    pub(crate) fn with_config(cfg: Config) -> Self {
        let mut state = State::default();
        state.apply(1, Command::Lead);
        let queues = vec![queue("batch", "/batch/")];
        let table =
            routes::RouteTable { version: 1, queues, pools: vec![pool()], ..Default::default() };
        let document = "{}".into();
        state.apply(2, Command::SetRoutes { table: Box::new(table), document });
        Self::configured(cfg, state, Monotonic::from_millis(1_000))
    }

    /// Creates a leader that starts from a replicated state.
    pub(crate) fn from_state(state: State, now: Monotonic) -> Self {
        Self::configured(Config::new(LEASE), state, now)
    }

    /// Creates a leader with other parameters, which starts from a replicated state.
    pub(crate) fn configured(cfg: Config, state: State, now: Monotonic) -> Self {
        let since_1970 = UNIX + Duration::from_micros(now.as_micros());
        let scheduler = Scheduler::new(cfg, &state, since_1970, now);
        Self {
            state,
            scheduler,
            now,
            cfg,
            holds_commits: false,
            held_commands: Vec::new(),
            index: 100,
            sequences: BTreeMap::new(),
            orders: Vec::new(),
        }
    }

    /// Returns the next leader, which starts from the same replicated state.
    pub(crate) fn into_next_leader(mut self) -> Self {
        self.state.apply(self.index + 1, Command::Lead);
        Self::configured(self.cfg, self.state, self.now)
    }

    /// Returns the time of day, in milliseconds since the Unix epoch.
    pub(crate) fn unix_ms(&self) -> u64 {
        let since_1970 = UNIX + Duration::from_micros(self.now.as_micros());
        u64::try_from(since_1970.as_millis()).expect("a small number")
    }

    /// Advances the clock and does the work that is due.
    pub(crate) fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
        let since_start = Duration::from_micros(self.now.as_micros());
        self.scheduler.tick(self.now, UNIX + since_start);
        self.settle();
    }

    /// Places tasks, collects orders and commits commands until there are none left.
    pub(crate) fn settle(&mut self) {
        loop {
            self.scheduler.place(self.now);
            while self.scheduler.has_placement_left() {
                self.scheduler.place(self.now);
            }
            self.orders.extend(self.scheduler.take_orders());
            let commands = self.scheduler.take_commands();
            if commands.is_empty() {
                return;
            }
            if self.holds_commits {
                self.held_commands.extend(commands);
                continue;
            }
            self.commit(commands);
        }
    }

    /// Commits the commands that were held back.
    pub(crate) fn release_commits(&mut self) {
        self.holds_commits = false;
        let held_commands = std::mem::take(&mut self.held_commands);
        self.commit(held_commands);
        self.settle();
    }

    pub(crate) fn commit(&mut self, commands: Vec<Command>) {
        for command in commands {
            self.index += 1;
            let effect = self.state.apply(self.index, command);
            self.apply_effect(effect);
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        let (now, state) = (self.now, &self.state);
        match effect {
            Effect::JobAdded(key) => self.scheduler.job_added(now, key, &state.get_jobs()[&key]),
            Effect::JobCancelled(key) => self.scheduler.job_over(now, key),
            Effect::NoSuchJob(key) | Effect::JobCancelledBefore(key) => {
                self.scheduler.cancelled_before(now, key);
            }
            Effect::FenceAssigned(fence) => self.scheduler.fence_raised(fence),
            Effect::WorkerAdded(number) => {
                self.scheduler.worker_added(now, number, state);
            }
            Effect::WorkerLeaving(number) => self.scheduler.worker_leaving(number, state),
            Effect::WorkerCrashed { worker, runs, given_up } => {
                self.scheduler.crash_noted(now, worker, &runs, &given_up, state);
            }
            Effect::EndsNoted { worker, ends } => {
                self.scheduler.ends_noted(now, worker, &ends, state);
            }
            Effect::RoutesChanged => self.scheduler.routes_changed(state),
            Effect::EvacuationChanged(zone) => {
                self.scheduler.evacuation_changed(now, &zone, state);
            }
            _ => {}
        }
    }

    /// Commits the next version of the routes, with these queues.
    pub(crate) fn set_queues(&mut self, queues: Vec<routes::Queue>) {
        let pools = self.state.get_routes().expect("routes").table.pools.clone();
        self.set_routes(queues, pools);
    }

    /// Commits the next version of the routes, with one more pool.
    pub(crate) fn add_pool(&mut self, name: &str) {
        let table = self.state.get_routes().expect("routes").table.clone();
        let more = routes::Pool { name: name.to_owned(), ..pool() };
        self.set_routes(table.queues, [table.pools, vec![more]].concat());
    }

    /// Commits the next version of the routes.
    pub(crate) fn set_routes(&mut self, queues: Vec<routes::Queue>, pools: Vec<routes::Pool>) {
        let version = self.state.get_routes().expect("routes").table.version + 1;
        let table = routes::RouteTable { version, queues, pools, ..Default::default() };
        self.commit(vec![Command::SetRoutes { table: Box::new(table), document: "{}".into() }]);
        self.settle();
    }

    /// Commits a job with the default key.
    pub(crate) fn submit(&mut self, spec: job::JobSpec) {
        self.submit_as(KEY.get(), spec);
    }

    /// Commits a job with the given key.
    pub(crate) fn submit_as(&mut self, key: u64, spec: job::JobSpec) {
        self.submit_to("batch", key, spec);
    }

    /// Commits a job of the given queue.
    pub(crate) fn submit_to(&mut self, queue: &str, key: u64, spec: job::JobSpec) {
        let (job, queue) = (id::JobKey::new(key), queue.to_owned());
        let submission = Box::new(Submission { job, queue, max_attempts: 2, spec });
        let unix_ms = self.unix_ms();
        self.commit(vec![Command::SubmitAt { submission, unix_ms }]);
        self.settle();
    }

    /// Returns the next announcement of an incarnation of a worker with room for eight tasks.
    pub(crate) fn announcement(&mut self, name: &str, born: u64) -> worker::Announcement {
        let sequence = self.sequences.entry(format!("{name}/{born}")).or_default();
        *sequence += 1;
        announcement(name, born, *sequence)
    }

    /// Adds a worker that has announced itself and answered its first poll; returns its number.
    pub(crate) fn worker(&mut self, name: &str) -> id::WorkerNumber {
        self.worker_of_size(name, 16_000)
    }

    /// Adds a worker with `cpu_milli` thousandths of a core; returns its number.
    pub(crate) fn worker_of_size(&mut self, name: &str, cpu_milli: u32) -> id::WorkerNumber {
        let mut announcement = self.announcement(name, 10);
        announcement.capacity.cpu_milli = cpu_milli;
        self.announce(announcement);
        let mut workers = self.state.get_workers().iter();
        let known = workers.find(|(_, worker)| worker.announced.name.as_str() == name);
        let number = *known.expect("the worker is in the log").0;
        self.report(number, worker::Report::default());
        number
    }

    /// Adds a worker in the given zone; returns its number.
    pub(crate) fn worker_in(&mut self, name: &str, zone: &str) -> id::WorkerNumber {
        let announcement = self.announcement(name, 10);
        self.announce(worker::Announcement { zone: zone.to_owned(), ..announcement });
        let workers = self.state.get_workers().iter();
        let mut named = workers.filter(|(_, worker)| worker.announced.name.as_str() == name);
        let number = *named.next_back().expect("the worker is in the log").0;
        self.report(number, worker::Report::default());
        number
    }

    /// Returns an order about a zone that is received now.
    pub(crate) fn zone_order(&self, zone: &str) -> Box<ZoneOrder> {
        let zone: id::ZoneName = zone.parse().expect("a zone name");
        let revision = self.state.get_evacuations().get_revision(&zone);
        let unix_ms = self.unix_ms();
        Box::new(ZoneOrder { zone, operator: "ines".to_owned(), unix_ms, revision })
    }

    /// Commits an evacuation.
    pub(crate) fn evacuate(&mut self, zone: &str) {
        let order = self.zone_order(zone);
        self.commit(vec![Command::Evacuate(order)]);
        self.settle();
    }

    /// Commits the withdrawal of an evacuation.
    pub(crate) fn withdraw(&mut self, zone: &str) {
        let order = self.zone_order(zone);
        self.commit(vec![Command::WithdrawEvacuation(order)]);
        self.settle();
    }

    /// Answers a poll of the worker's latest incarnation with an empty report.
    pub(crate) fn worker_reports_nothing(&mut self, name: &str) {
        let workers = self.state.get_workers().iter();
        let mut named = workers.filter(|(_, worker)| worker.announced.name.as_str() == name);
        let number = *named.next_back().expect("the worker is in the log").0;
        self.report(number, worker::Report::default());
    }

    /// Lets a poll of a worker time out.
    pub(crate) fn leaves_poll_unanswered(&mut self, number: id::WorkerNumber) {
        let answer = Answer::Poll(PollAnswer::NoAnswer);
        self.scheduler.answered(self.now, number, self.now, answer);
        self.settle();
    }

    /// Handles an announcement and commits what has to be committed before it is acknowledged;
    /// returns whether it is acknowledged then.
    pub(crate) fn announce(&mut self, announcement: worker::Announcement) -> bool {
        let acknowledgement = self.scheduler.announced(self.now, announcement);
        let is_acknowledged = acknowledgement != Acknowledgement::OnceAdded;
        if let Acknowledgement::Committed(command) = acknowledgement {
            self.commit(vec![command]);
        }
        self.settle();
        is_acknowledged
    }

    /// Answers a poll with a report and the worker's clock.
    pub(crate) fn report(&mut self, number: id::WorkerNumber, report: worker::Report) {
        let clock_ms = Some(5_000 + self.now.as_micros() / 1_000);
        let report = worker::Report { clock_ms, ..report };
        let answer = Answer::Poll(PollAnswer::Report(report));
        self.scheduler.answered(self.now, number, self.now, answer);
        self.settle();
    }

    /// Answers a start order.
    pub(crate) fn started(&mut self, start: &Start, answer: StartAnswer) {
        let Start { worker, task, run } = *start;
        let answer = Answer::Start { task, run, answer, clock_ms: None };
        self.scheduler.answered(self.now, worker, self.now, answer);
        self.settle();
    }

    /// Takes all orders so far and returns the start orders among them.
    pub(crate) fn take_starts(&mut self) -> Vec<Start> {
        let orders = std::mem::take(&mut self.orders);
        let starts = orders.into_iter().filter_map(|order| match order {
            Order::Start { worker, task, run, .. } => Some(Start { worker, task, run }),
            _ => None,
        });
        starts.collect()
    }
}

/// Order to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Start {
    pub(crate) worker: id::WorkerNumber,
    pub(crate) task: id::TaskId,
    pub(crate) run: id::Run,
}

impl Start {
    /// Returns the status of the run in a report.
    pub(crate) fn status(&self) -> worker::RunStatus {
        let checkpoint = String::new();
        worker::RunStatus { task: self.task, run: self.run, checkpoint, percent: 10, load: None }
    }

    /// Returns the end of the run.
    pub(crate) fn end(&self, number: u64, kind: worker::EndKind) -> worker::End {
        let checkpoint = String::new();
        worker::End { number, task: self.task, run: self.run, kind, checkpoint }
    }
}

/// Returns a report with runs in progress.
pub(crate) fn running(starts: &[Start]) -> worker::Report {
    let running = starts.iter().map(Start::status).collect();
    worker::Report { running, ..worker::Report::default() }
}

/// Returns a report with ends of runs.
pub(crate) fn ended(ends: Vec<worker::End>) -> worker::Report {
    worker::Report { ended: ends, ..worker::Report::default() }
}
