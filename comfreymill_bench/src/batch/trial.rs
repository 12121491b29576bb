use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use comfreymill_batch::action;
use comfreymill_batch::config;
use comfreymill_batch::event;
use comfreymill_batch::scheduler;
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::time;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{InterferenceModel, Job, Kind, Measures, Plan, Site, Step, Worker};

const STEPS_PER_SECOND: u64 = 2;
const REPORT_SECONDS: u64 = 5;
const REPORT_DELAY_SECONDS: u64 = 4;
const REPORT_NOISE: f64 = 0.05;
const WARM_UP_SECONDS: u64 = 120;
const REPAIR_SECONDS: f64 = 60.0;

/// Simulation of one policy over a planned sequence of events.
pub(super) struct Trial<'a> {
    site: Site,
    plan: &'a Plan,
    scheduler: scheduler::Scheduler,
    workers: Vec<Worker>,
    jobs: HashMap<id::JobId, Job>,
    next_job: u64,
    submitted: HashMap<id::TaskId, f64>,
    evicting: HashMap<id::AttemptId, ()>,
    reports: BTreeMap<u64, Vec<event::LatencyReport>>,
    measures: Measures,
    rng: ChaCha8Rng,
    second: f64,
}

impl<'a> Trial<'a> {
    pub(super) fn new(site: Site, policy: config::Policy, plan: &'a Plan, seed: u64) -> Self {
        let cfg = config::Config::new().policy(policy).seed(seed);
        let mut workers: Vec<Worker> = (0..site.workers()).map(|i| Worker::new(site, i)).collect();
        for i in &plan.failing_workers {
            workers[*i].fails_everything = true;
        }
        let mut trial = Self {
            site,
            plan,
            scheduler: scheduler::Scheduler::new(cfg, time::Monotonic::ZERO),
            workers,
            jobs: HashMap::new(),
            next_job: 1,
            submitted: HashMap::new(),
            evicting: HashMap::new(),
            reports: BTreeMap::new(),
            measures: Measures::default(),
            rng: ChaCha8Rng::seed_from_u64(seed + 1_000),
            second: 0.0,
        };
        let environment = Box::new(environment(site));
        let stage = document::Stage::Production;
        trial.handle(event::Event::DocumentInForce { stage, environment });
        trial
    }

    pub(super) fn run(mut self) -> Measures {
        for second in 0..self.site.seconds() {
            if second == WARM_UP_SECONDS {
                self.measures.restart();
            }
            let plan = self.plan;
            self.begin_second(&plan.steps[second as usize]);
            for step in 0..STEPS_PER_SECOND {
                self.second = second as f64 + step as f64 / STEPS_PER_SECOND as f64;
                self.run_step(step);
            }
            self.measure_latency(second);
        }
        self.measures.parked = self.scheduler.get_status().parked as u64;
        self.measures.seconds = (self.site.seconds() - WARM_UP_SECONDS) as f64;
        self.measures
    }

    fn begin_second(&mut self, step: &Step) {
        for job in &step.jobs {
            self.submit(job);
        }
        for i in 0..step.cancels {
            self.cancel(self.next_job.saturating_sub(5 + i as u64));
        }
        for worker in &step.lost_workers {
            let until = self.second + REPAIR_SECONDS;
            for run in std::mem::take(&mut self.workers[*worker].runs) {
                self.measures.lost += (run.done - run.saved) * run.cores;
            }
            self.workers[*worker].lose(until);
        }
    }

    fn submit(&mut self, job: &Job) {
        let number = id::JobId::new(self.next_job);
        self.next_job += 1;
        self.jobs.insert(number, job.clone());
        for index in 0..job.tasks {
            let task = id::TaskId::new(number, index);
            let team = format!("team{}", job.team).parse().expect("the name is valid");
            let class = job.kind.as_str().parse().expect("the name is valid");
            let mut view = event::TaskView::new(task, document::Stage::Production, team, class);
            view.size = Some(job.declared);
            self.submitted.insert(task, self.second);
            self.handle(event::Event::TaskAdded(Box::new(view)));
        }
    }

    fn cancel(&mut self, job: u64) {
        let number = id::JobId::new(job);
        let Some(job) = self.jobs.get(&number) else { return };
        if matches!(job.kind, Kind::Watch | Kind::Urgent) {
            return;
        }
        for index in 0..job.tasks {
            self.handle(event::Event::TaskCancelled(id::TaskId::new(number, index)));
        }
    }

    /// Runs the workers for one step of a second.
    fn run_step(&mut self, step: u64) {
        for i in 0..self.workers.len() {
            if self.workers[i].lost_until > self.second {
                continue;
            }
            let seconds = 1.0 / STEPS_PER_SECOND as f64;
            self.measures.work += self.workers[i].work(self.second, seconds);
            if i as u64 % STEPS_PER_SECOND == step {
                self.exchange_heartbeat(i);
            }
        }
        self.handle(event::Event::Tick);
    }

    /// Sends a worker's heartbeat, and applies the assignments that answer it.
    fn exchange_heartbeat(&mut self, i: usize) {
        let heartbeat = self.workers[i].heartbeat(self.second);
        let (incarnation, sequence) = (heartbeat.incarnation, heartbeat.sequence);
        let name = heartbeat.worker.clone();
        self.count_ended(i);
        self.handle(event::Event::WorkerHeartbeat(Box::new(heartbeat)));
        let desired = self.scheduler.desired(&name, incarnation, sequence);
        let Some(assignments) = desired else { return };
        let jobs = &self.jobs;
        let started = self.workers[i].apply(&assignments, |job| {
            let job = jobs[&job].clone();
            (job.kind, job)
        });
        for attempt in started {
            if let Some(since) = self.submitted.remove(&attempt.task) {
                let kind = self.jobs[&attempt.task.job].kind;
                self.measures.observe_wait(kind, self.second - since);
            }
        }
    }

    /// Counts the outcome and lost work of ended runs. A run is counted once, when its end is first
    /// reported.
    fn count_ended(&mut self, i: usize) {
        for run in &mut self.workers[i].runs {
            let unsaved = (run.done - run.saved) * run.cores;
            match &run.state {
                event::AttemptState::Finished => self.measures.finished += 1,
                event::AttemptState::Failed { .. } => self.measures.failures += 1,
                event::AttemptState::Stopped { .. } => {
                    self.measures.lost += unsaved;
                    if self.evicting.remove(&run.attempt).is_some() {
                        self.measures.lost_to_evictions += unsaved;
                    }
                }
                _ => {}
            }
        }
    }

    /// Measures the latency of each service, and passes on reports that are delayed and noisy.
    fn measure_latency(&mut self, second: u64) {
        for i in 0..self.workers.len() {
            if self.workers[i].lost_until > self.second {
                continue;
            }
            let slowdown = self.workers[i].slowdown;
            self.measures.observe_requests(self.second, slowdown, &mut self.rng);
            if (second + i as u64).is_multiple_of(REPORT_SECONDS) {
                self.report(i, second);
            }
        }
        for report in self.reports.remove(&second).unwrap_or_default() {
            self.handle(event::Event::ExecutorLatency(report));
        }
    }

    fn report(&mut self, i: usize, second: u64) {
        let (sum, count) = std::mem::take(&mut self.workers[i].window);
        if count == 0 {
            return;
        }
        let noise = 1.0 + self.rng.random_range(-REPORT_NOISE..REPORT_NOISE);
        let micros = InterferenceModel::alone_micros(self.second) * sum / f64::from(count) * noise;
        let report = event::LatencyReport {
            worker: self.workers[i].name.clone(),
            service: "search".parse().expect("the name is valid"),
            p99: Duration::from_micros(micros as u64),
            age: Duration::from_millis(REPORT_DELAY_SECONDS * 1_000 + REPORT_SECONDS * 500),
        };
        self.reports.entry(second + REPORT_DELAY_SECONDS).or_default().push(report);
    }

    /// Passes an event to the scheduler, and commits at once the changes that it proposes.
    fn handle(&mut self, event: event::Event) {
        let now = time::Monotonic::from_millis((self.second * 1_000.0) as u64);
        self.scheduler.handle(now, event);
        self.scheduler.take_records();
        for action in self.scheduler.take_actions() {
            self.count(&action);
            if let Some(event) = confirm(action) {
                self.handle(event);
            }
        }
    }

    fn count(&mut self, action: &action::Action) {
        match action {
            action::Action::Stop { attempt, reason: action::StopReason::Evicted } => {
                self.measures.evictions += 1;
                self.evicting.insert(*attempt, ());
            }
            action::Action::Throttle { .. } => self.measures.throttles += 1,
            _ => {}
        }
    }
}

/// Returns the event that confirms a committed action, if there is one.
fn confirm(action: action::Action) -> Option<event::Event> {
    match action {
        action::Action::Start { attempt, .. } => Some(event::Event::AttemptStarted(attempt)),
        action::Action::RecordCheckpoint { attempt, checkpoint } => {
            Some(event::Event::CheckpointRecorded { attempt, checkpoint })
        }
        action::Action::End { attempt, outcome, checkpoint, park } => {
            Some(event::Event::AttemptEnded { attempt, outcome, checkpoint, park })
        }
        action::Action::Park { task, reason } => Some(event::Event::TaskParked { task, reason }),
        action::Action::Unpark { task } => Some(event::Event::TaskUnparked(task)),
        _ => None,
    }
}

/// Returns a document with a class for every kind of job.
pub(super) fn environment(site: Site) -> document::Environment {
    let weights = site.weights();
    let text = format!(
        "
name: bench
version: 1
weights: {weights}
teams: [{{name: team0}}, {{name: team1}}, {{name: team2, share: 2}}, {{name: team3}}]
classes:
  - {{name: quiet, kind: {{batch: {{size: {{cores: 1, memory: 1GB}}}}}}}}
  - {{name: middle, kind: {{batch: {{size: {{cores: 1, memory: 1GB}}}}}}}}
  - {{name: noisy, kind: {{batch: {{size: {{cores: 1, memory: 1GB}}}}}}}}
  - {{name: once, unrepeatable: true, kind: {{batch: {{size: {{cores: 1, memory: 1GB}}}}}}}}
  - {{name: urgent, priority: urgent, kind: {{batch: {{size: {{cores: 1, memory: 1GB}}}}}}}}
  - {{name: watch, priority: high, kind: {{standing: {{size: {{cores: 1, memory: 1GB}}}}}}}}
  - {{name: search, kind: {{prompt: {{service: search, deadline: 1s}}}}}}
"
    );
    document::Environment::parse(text.as_bytes()).expect("the document is valid")
}
