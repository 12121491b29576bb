//! Replays of the load that gains were made for, on a virtual clock.

use std::collections::BTreeMap;
use std::f64::consts::TAU;
use std::time::Duration;

use comfreymill_jobs::id::{JobKey, TaskId, WorkerNumber};
use comfreymill_jobs::job::StepSpec;
use comfreymill_jobs::scheduler::{Order, StartAnswer};
use comfreymill_jobs::worker::{EndKind, Report, Resources, RunStatus};

use crate::support::{Leader, Start, spec, step};

const TARGET_MS: f64 = 150.0;
const STEP: Duration = Duration::from_millis(500);
const SERVING_JOBS: u64 = 4;
const CORES: f64 = 16.0;
const FILLER_CORES: f64 = 2.0;
/// Work of a filler at full speed, in steps of the clock.
const FILLER_WORK: f64 = 4.0;
/// Decrease of slack beside a filler on all processors, for the two images of fillers.
const EFFECTS: [f64; 2] = [9.0, 0.5];

struct RunState {
    start: Start,
    work: f64,
    pace: f64,
    is_stopped: bool,
}

/// Workers on which jobs of one serving image have users whose load swings over 20 s, each job in a
/// phase of its own, as recorded on quiet-1 of vltavin-stany.
struct World {
    leader: Leader,
    workers: Vec<WorkerNumber>,
    runs: BTreeMap<WorkerNumber, Vec<RunState>>,
    ends: BTreeMap<WorkerNumber, u64>,
    seconds: f64,
    reports: u32,
    reports_over_target: u32,
    /// Number of fillers without notable effect that were done while reports were counted.
    light_done: u32,
}

impl World {
    fn new() -> Self {
        let mut leader = Leader::new();
        let workers = (0..4).map(|number| leader.worker(&format!("w{number}"))).collect();
        for job in 0..SERVING_JOBS {
            let mut serving = step(4);
            serving.needs = Resources { cpu_milli: 3_000, mem_mb: 500, gpus: 0 };
            serving.is_long_running = true;
            serving.tail_target_ms = Some(TARGET_MS as u32);
            serving.image = Some("watch".to_owned());
            serving.max_per_worker = Some(1);
            leader.submit_as(job, spec(vec![serving]));
        }
        let runs = BTreeMap::new();
        let ends = BTreeMap::new();
        Self {
            leader,
            workers,
            runs,
            ends,
            seconds: 0.0,
            reports: 0,
            reports_over_target: 0,
            light_done: 0,
        }
    }

    /// Returns the slack that the tasks of a serving job have without fillers: 1.9 to 4.5.
    fn level(&self, job: JobKey) -> f64 {
        let phase = self.seconds / 20.0 + job.get() as f64 / SERVING_JOBS as f64;
        3.2 + 1.3 * (TAU * phase).sin()
    }

    fn submit_fillers(&mut self, number: u64) {
        let mut filler: StepSpec = step(2);
        filler.needs = Resources { cpu_milli: 2_000, mem_mb: 100, gpus: 0 };
        filler.is_filler = true;
        filler.has_checkpoints = true;
        filler.image = Some(image_name(number).to_owned());
        self.leader.submit_as(1_000 + number, spec(vec![filler]));
    }

    fn follow_orders(&mut self) {
        for order in std::mem::take(&mut self.leader.orders) {
            match order {
                Order::Start { worker, task, run, .. } => {
                    let start = Start { worker, task, run };
                    let state = RunState { start, work: 0.0, pace: 1.0, is_stopped: false };
                    self.runs.entry(worker).or_default().push(state);
                    self.leader.started(&start, StartAnswer::Started);
                }
                Order::Pace { worker, task, percent, .. } => {
                    self.change(worker, task, |run| run.pace = f64::from(percent) / 100.0);
                }
                Order::Stop { worker, task, .. } => {
                    self.change(worker, task, |run| run.is_stopped = true);
                }
                Order::Poll { .. } => {}
            }
        }
    }

    fn change<F>(&mut self, worker: WorkerNumber, task: TaskId, change: F)
    where
        F: Fn(&mut RunState),
    {
        let runs = self.runs.entry(worker).or_default();
        runs.iter_mut().filter(|run| run.start.task == task).for_each(change);
    }

    /// Lets one worker work for a step of the clock, and reports it.
    fn report(&mut self, worker: WorkerNumber, is_counted: bool) {
        let mut runs = self.runs.remove(&worker).unwrap_or_default();
        let is_filler = |run: &RunState| run.start.task.step.job.get() >= 1_000;
        let loss: f64 = runs
            .iter()
            .filter(|run| is_filler(run))
            .map(|run| EFFECTS[image_of(run)] * run.pace * FILLER_CORES / CORES)
            .sum();
        let mut report = Report::default();
        for run in &mut runs {
            let job = run.start.task.step.job;
            let load = if is_filler(run) {
                run.work += run.pace;
                run.pace * FILLER_CORES * 1_000.0
            } else {
                let slack = (self.level(job) - loss).max(0.2);
                self.reports += u32::from(is_counted);
                self.reports_over_target += u32::from(is_counted && slack < 1.0);
                TARGET_MS / slack
            };
            let is_done = run.work >= FILLER_WORK;
            if is_done || run.is_stopped {
                let number = self.ends.entry(worker).or_default();
                *number += 1;
                let kind = if is_done { EndKind::Done } else { EndKind::Stopped };
                self.light_done += u32::from(is_counted && is_done && image_of(run) == 1);
                report.ended.push(run.start.end(*number, kind));
            } else {
                let load = Some(load as u32);
                report.running.push(RunStatus { load, ..run.start.status() });
            }
        }
        runs.retain(|run| run.work < FILLER_WORK && !run.is_stopped);
        self.runs.insert(worker, runs);
        self.leader.report(worker, report);
    }
}

fn image_name(number: u64) -> &'static str {
    if number.is_multiple_of(2) { "heavy" } else { "light" }
}

fn image_of(run: &RunState) -> usize {
    (run.start.task.step.job.get() % 2) as usize
}

/// With one level of tail latencies for all jobs of an image, the swings of the jobs were taken for
/// effects of fillers.
#[test]
fn fillers_work_beside_jobs_whose_loads_swing_and_keep_their_tails_under_target() {
    let mut world = World::new();
    let mut submitted = 0;
    for round in 0..120_u64 {
        world.seconds = round as f64 / 2.0;
        if round >= 4 {
            world.submit_fillers(round);
        }
        let is_counted = round >= 40;
        submitted += u32::from(is_counted && image_name(round) == "light") * 2;
        world.leader.advance(STEP);
        world.follow_orders();
        for worker in world.workers.clone() {
            world.report(worker, is_counted);
            world.follow_orders();
        }
    }
    let over = f64::from(world.reports_over_target) / f64::from(world.reports);
    assert!(world.reports > 1_000, "{} reports", world.reports);
    assert!(over <= 0.01, "{over} of the reports are over their targets");
    assert!(world.light_done * 10 >= submitted * 9, "{} of {submitted} done", world.light_done);
}
