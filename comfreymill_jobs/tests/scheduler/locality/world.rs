//! Racks of workers on a virtual clock, which run what the leader orders.

use std::collections::BTreeMap;
use std::time::Duration;

use comfreymill_jobs::id::{TaskId, WorkerNumber};
use comfreymill_jobs::job::StepSpec;
use comfreymill_jobs::scheduler::{Config, Order, RemoteFactor, StartAnswer};
use comfreymill_jobs::worker::{Announcement, EndKind, Report, RunStatus};
use comfreymill_types::time::Monotonic;

use crate::support::{LEASE, Leader, Start, announcement, spec, step};

const TICK: Duration = Duration::from_millis(10);
const REPORT_TICKS: u64 = 40;

/// Small seeded generator (splitmix64).
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut value = self.0;
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (value ^ (value >> 31)) % limit.max(1)
    }
}

struct Run {
    start: Start,
    began_at: Monotonic,
    ends_at: Option<Monotonic>,
}

impl Run {
    /// Returns the status in a report, with the progress.
    fn status(&self, now: Monotonic) -> RunStatus {
        let total = self.ends_at.map(|at| at.since(self.began_at).as_millis()).unwrap_or_default();
        let percent = now.since(self.began_at).as_millis() * 100 / total.max(1);
        RunStatus { percent: percent.min(100) as u32, ..self.start.status() }
    }
}

struct Submitted {
    at: Monotonic,
    open: u16,
    actual: Duration,
    rack: Option<String>,
    due_at: Monotonic,
}

/// Leader, racks of workers and the jobs that were submitted.
pub(crate) struct World {
    pub(crate) leader: Leader,
    pub(crate) racks: BTreeMap<WorkerNumber, String>,
    factor: RemoteFactor,
    runs: BTreeMap<WorkerNumber, Vec<Run>>,
    ends: BTreeMap<WorkerNumber, u64>,
    jobs: BTreeMap<u64, Submitted>,
    ticks: u64,
    /// Completion time of each job, and whether it was in time.
    pub(crate) completed: Vec<(Duration, bool)>,
    pub(crate) starts: Vec<(TaskId, String, Monotonic)>,
}

impl World {
    /// Creates `racks` racks of `size` workers with room for eight tasks each; without
    /// `is_enabled`, the leader does not know the factor.
    pub(crate) fn new(racks: u64, size: u64, factor: RemoteFactor, is_enabled: bool) -> Self {
        let cfg = Config::new(LEASE).remote_factor(is_enabled.then_some(factor));
        let first = Leader::new();
        let mut leader = Leader::configured(cfg, first.state, first.now);
        let mut of_worker = BTreeMap::new();
        for index in 0..racks * size {
            let name = format!("w{index}");
            let mut announced = announcement(&name, 10, 1);
            announced.address =
                format!("10.1.{}.{}:80", index / 200, index % 200).parse().expect("an address");
            announced.zone = format!("zone-{}", index / size);
            announced.labels = vec!["a".to_owned(), format!("r{}", index / size)];
            leader.announce(announced);
            let workers = leader.state.get_workers();
            let number = *workers.last_key_value().expect("a worker").0;
            leader.report(number, Report::default());
            of_worker.insert(number, format!("r{}", index / size));
        }
        Self {
            leader,
            racks: of_worker,
            factor,
            runs: BTreeMap::new(),
            ends: BTreeMap::new(),
            jobs: BTreeMap::new(),
            ticks: 0,
            completed: Vec::new(),
            starts: Vec::new(),
        }
    }

    /// Submits a job with one step of `count` tasks that take `actual` near their data.
    pub(crate) fn submit(&mut self, key: u64, count: u16, actual: Duration, rack: Option<&str>) {
        let rack = rack.map(str::to_owned);
        self.submit_step(key, actual, StepSpec { data_rack: rack, ..step(count) });
    }

    pub(crate) fn submit_step(&mut self, key: u64, actual: Duration, step: StepSpec) {
        let allowed = Duration::from_millis(u64::from(step.estimate_ms)).mul_f64(1.5);
        let due_at = self.leader.now + allowed + Duration::from_millis(500);
        let rack = step.data_rack.clone();
        let job = Submitted { at: self.leader.now, open: step.count, actual, rack, due_at };
        self.jobs.insert(key, job);
        self.leader.submit_as(key, spec(vec![step]));
        self.follow_orders();
    }

    /// Advances the clock by one tick.
    pub(crate) fn tick(&mut self) {
        self.ticks += 1;
        self.leader.advance(TICK);
        self.follow_orders();
        for number in self.racks.keys().copied().collect::<Vec<_>>() {
            self.report(number);
        }
    }

    /// Advances the clock until nothing is left to do, or for at most `ticks`.
    pub(crate) fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.tick();
        }
    }

    /// Lets a worker crash; it does not answer any more.
    pub(crate) fn crash(&mut self, number: WorkerNumber) {
        self.racks.remove(&number).expect("a worker");
        self.runs.remove(&number);
        self.leader.leaves_poll_unanswered(number);
        self.follow_orders();
    }

    /// Lets a worker say that it is leaving.
    pub(crate) fn leave(&mut self, number: WorkerNumber) {
        let announced = self.leader.state.get_workers()[&number].announced.clone();
        let sequence = announced.sequence + 1;
        let leaving_in = Some(Duration::from_secs(3));
        self.leader.announce(Announcement { sequence, leaving_in, ..announced });
        self.follow_orders();
    }

    /// Evacuates the zone of a rack.
    pub(crate) fn evacuate(&mut self, rack: u64) {
        self.leader.evacuate(&format!("zone-{rack}"));
        self.follow_orders();
    }

    /// Replaces the leader; the next one hears from all workers.
    pub(crate) fn change_leader(&mut self) {
        let leader = std::mem::replace(&mut self.leader, Leader::new());
        self.leader = leader.into_next_leader();
        for number in self.racks.keys().copied().collect::<Vec<_>>() {
            let runs = self.runs.entry(number).or_default();
            let running = runs.iter().map(|run| run.status(self.leader.now)).collect();
            self.leader.report(number, Report { running, ..Report::default() });
        }
        self.tick();
    }

    /// Returns the racks on which the tasks of a job were started, with the times since `since`.
    pub(crate) fn starts_of(&self, key: u64, since: Monotonic) -> Vec<(&str, Duration)> {
        let starts = self.starts.iter().filter(|(task, ..)| task.step.job.get() == key);
        starts.map(|(_, rack, at)| (rack.as_str(), at.since(since))).collect()
    }

    fn follow_orders(&mut self) {
        for order in std::mem::take(&mut self.leader.orders) {
            match order {
                Order::Start { worker, task, run, .. } => {
                    let start = Start { worker, task, run };
                    let began_at = self.leader.now;
                    let rack = self.racks[&worker].clone();
                    let ends_at = self.jobs.get(&task.step.job.get()).map(|job| {
                        let is_near = job.rack.as_ref().is_none_or(|wanted| *wanted == rack);
                        let span =
                            if is_near { job.actual } else { self.factor.remote(job.actual) };
                        self.leader.now + span
                    });
                    self.starts.push((task, rack, self.leader.now));
                    self.runs.entry(worker).or_default().push(Run { start, began_at, ends_at });
                    self.leader.started(&start, StartAnswer::Started);
                }
                Order::Stop { worker, task, .. } => {
                    let runs = self.runs.entry(worker).or_default();
                    runs.retain(|run| run.start.task != task);
                }
                Order::Pace { .. } | Order::Poll { .. } => {}
            }
        }
    }

    fn report(&mut self, number: WorkerNumber) {
        let now = self.leader.now;
        let mut runs = self.runs.remove(&number).unwrap_or_default();
        let mut report = Report::default();
        for run in &runs {
            if run.ends_at.is_some_and(|at| at <= now) {
                let last = self.ends.entry(number).or_default();
                *last += 1;
                report.ended.push(run.start.end(*last, EndKind::Done));
                let key = run.start.task.step.job.get();
                if let Some(job) = self.jobs.get_mut(&key) {
                    job.open -= 1;
                    if job.open == 0 {
                        self.completed.push((now.since(job.at), now <= job.due_at));
                    }
                }
            } else {
                report.running.push(run.status(now));
            }
        }
        let is_due = self.ticks.is_multiple_of(REPORT_TICKS);
        let is_idle = report.ended.is_empty() && !is_due;
        runs.retain(|run| run.ends_at.is_none_or(|at| at > now));
        self.runs.insert(number, runs);
        if !is_idle {
            self.leader.report(number, report);
            self.follow_orders();
        }
    }
}
