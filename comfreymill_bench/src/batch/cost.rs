use std::fs;
use std::hint;
use std::time::Instant;

use comfreymill_batch::action;
use comfreymill_batch::config;
use comfreymill_batch::event;
use comfreymill_batch::scheduler;
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::size;
use comfreymill_types::time;

use super::trial::environment;
use super::{Site, Worker};
use crate::figure::Figure;

const TASKS_PER_WORKER: usize = 15;
const TARGET_TASKS: usize = 17_600;
const PLACEMENTS: u64 = 2_000;
const BURST: u64 = 2_000;

/// Measures the processor time and memory of scheduling decisions for a fleet of `workers`.
pub fn cost(workers: usize, seed: u64) -> Vec<Figure> {
    let prefix = format!("batch.cost.{workers}_workers");
    let mut figures = Vec::new();
    let mut add = |name: &str, value: f64, unit| {
        figures.push(Figure::new(format!("{prefix}.{name}"), value, unit, seed));
    };
    let mut bench = LoadedScheduler::new(workers, seed);
    let tasks = workers * TASKS_PER_WORKER;
    let waiting = TARGET_TASKS.saturating_sub(14_000) * workers / 910;
    add("fill_per_task", bench.submit(tasks as u64) / tasks as f64, "us");
    bench.send_heartbeats();
    let before = Instant::now();
    bench.send_heartbeats();
    add("heartbeat", micros(before) / workers as f64, "us");
    bench.submit_unplaceable(waiting as u64);
    let (mut total, mut worst) = (0.0, 0.0_f64);
    for _ in 0..PLACEMENTS {
        let elapsed = bench.replace_one();
        total += elapsed;
        worst = worst.max(elapsed);
    }
    add("placement_mean", total / PLACEMENTS as f64, "us");
    add("placement_worst", worst, "us");
    add("burst_of_2000_submissions", bench.submit(BURST) / 1_000.0, "ms");
    add("burst_of_1000_cancels", bench.cancel_last(1_000) / 1_000.0, "ms");
    let known = bench.tasks.len() as f64;
    let (rebuild, growth) = bench.rebuild();
    add("rebuild_of_new_leader", rebuild / 1_000.0, "ms");
    add("memory_of_new_leader", growth / 1e6, "MB");
    add("memory_of_new_leader_per_task", growth / known, "B");
    figures
}

/// Returns the microseconds since an instant.
fn micros(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1e6
}

/// Scheduler with a loaded fleet.
struct LoadedScheduler {
    scheduler: scheduler::Scheduler,
    workers: Vec<Worker>,
    tasks: Vec<event::TaskView>,
    attempts: Vec<event::AttemptView>,
    next_job: u64,
    now: u64,
}

impl LoadedScheduler {
    fn new(workers: usize, seed: u64) -> Self {
        let cfg = config::Config::new().seed(seed);
        let workers = (0..workers).map(|i| Worker::new(Site::Target, i)).collect();
        let scheduler = scheduler::Scheduler::new(cfg, time::Monotonic::ZERO);
        let (tasks, attempts) = (Vec::new(), Vec::new());
        let mut bench = Self { scheduler, workers, tasks, attempts, next_job: 1, now: 0 };
        let stage = document::Stage::Production;
        let environment = Box::new(environment(Site::Target));
        bench.handle(event::Event::DocumentInForce { stage, environment });
        bench.send_heartbeats();
        bench
    }

    /// Passes an event to the scheduler, and confirms the starts that it requests.
    fn handle(&mut self, event: event::Event) {
        let now = time::Monotonic::from_millis(self.now);
        self.scheduler.handle(now, event);
        for action in self.scheduler.take_actions() {
            if let action::Action::Start { attempt, .. } = action {
                self.attempts.push(attempt.clone());
                self.handle(event::Event::AttemptStarted(attempt));
            }
        }
    }

    /// Sends a heartbeat of every worker and computes each worker's assignments.
    fn send_heartbeats(&mut self) {
        self.now += 1_000;
        for i in 0..self.workers.len() {
            let heartbeat = self.workers[i].heartbeat(self.now as f64 / 1_000.0);
            self.handle(event::Event::WorkerHeartbeat(Box::new(heartbeat)));
            let worker = &self.workers[i];
            let name = worker.name.clone();
            let desired = self.scheduler.desired(&name, worker.incarnation, worker.sequence);
            hint::black_box(desired);
        }
    }

    /// Submits small tasks, and returns the time that this took in microseconds.
    fn submit(&mut self, count: u64) -> f64 {
        let views: Vec<event::TaskView> = (0..count).map(|i| self.view(i, 1_000)).collect();
        self.tasks.extend(views.iter().cloned());
        let before = Instant::now();
        for view in views {
            self.handle(event::Event::TaskAdded(Box::new(view)));
        }
        let elapsed = micros(before);
        self.scheduler.take_records();
        elapsed
    }

    /// Fills the queue with tasks that are too large for the free cores of any worker.
    fn submit_unplaceable(&mut self, count: u64) {
        for i in 0..count {
            let view = self.view(i, 22_000);
            self.tasks.push(view.clone());
            self.handle(event::Event::TaskAdded(Box::new(view)));
        }
    }

    fn view(&mut self, i: u64, core_millis: u64) -> event::TaskView {
        let job = self.next_job;
        self.next_job += 1;
        let task = id::TaskId::new(id::JobId::new(job), 0);
        let team = format!("team{}", i % 4).parse().expect("the name is valid");
        let class = ["quiet", "middle", "once"][(i % 3) as usize];
        let class = class.parse().expect("the name is valid");
        let mut view = event::TaskView::new(task, document::Stage::Production, team, class);
        let gigabytes = 1 + i % 4;
        view.size = Some(size::Resources::new(core_millis, gigabytes * 1_000_000_000, 0));
        view
    }

    /// Ends one attempt and submits one task, which is placed. Returns the time of both in
    /// microseconds.
    fn replace_one(&mut self) -> f64 {
        let oldest = self.attempts.remove(0);
        let view = self.view(oldest.id.task.job.get(), 1_000);
        let attempt = oldest.id;
        let outcome = action::Outcome::Finished;
        let ended = event::Event::AttemptEnded { attempt, outcome, checkpoint: None, park: None };
        let before = Instant::now();
        self.handle(ended);
        self.handle(event::Event::TaskAdded(Box::new(view)));
        micros(before)
    }

    /// Cancels the last submitted tasks, and returns the time that this took in microseconds.
    fn cancel_last(&mut self, count: u64) -> f64 {
        let last: Vec<id::TaskId> =
            self.tasks.iter().rev().take(count as usize).map(|view| view.id).collect();
        let before = Instant::now();
        for task in last {
            self.handle(event::Event::TaskCancelled(task));
        }
        micros(before)
    }

    /// Loads the tasks and attempts and a heartbeat of every worker into a new leader's scheduler.
    /// Returns the time in microseconds and the growth of resident memory in bytes.
    fn rebuild(&mut self) -> (f64, f64) {
        let (tasks, attempts) = (self.tasks.clone(), self.attempts.clone());
        let heartbeats: Vec<event::Heartbeat> = (0..self.workers.len())
            .map(|i| self.workers[i].heartbeat(self.now as f64 / 1_000.0))
            .collect();
        let cfg = self.scheduler.get_config().clone();
        let old = std::mem::replace(
            &mut self.scheduler,
            scheduler::Scheduler::new(cfg, time::Monotonic::from_millis(self.now)),
        );
        let stage = document::Stage::Production;
        let environment = Box::new(environment(Site::Target));
        self.handle(event::Event::DocumentInForce { stage, environment });
        let resident = resident_bytes();
        let before = Instant::now();
        self.handle(event::Event::BecameLeader { tasks, attempts });
        for heartbeat in heartbeats {
            self.handle(event::Event::WorkerHeartbeat(Box::new(heartbeat)));
        }
        let elapsed = micros(before);
        let growth = resident_bytes() - resident;
        drop(old);
        (elapsed, growth)
    }
}

/// Returns the resident memory of this process, or zero where the system does not report it.
fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
