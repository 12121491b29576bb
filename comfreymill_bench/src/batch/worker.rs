use std::time::Duration;

use comfreymill_batch::action;
use comfreymill_batch::event;
use comfreymill_types::id;
use comfreymill_types::size;

use super::{InterferenceModel, Job, Kind, Run, Site};

const USAGE_LAG: Duration = Duration::from_secs(5);
const EXECUTOR_USE_SHARE: f64 = 0.55;

/// Fake worker with one executor.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) name: id::WorkerName,
    pub(super) incarnation: id::Incarnation,
    pub(super) sequence: u64,
    pub(super) capacity: size::Resources,
    pub(super) executor: size::Resources,
    pub(super) zone: id::ZoneName,
    pub(super) region: id::RegionName,
    pub(super) rack: id::RackName,
    pub(super) fails_everything: bool,
    /// Time until which the worker is lost, in seconds.
    pub(super) lost_until: f64,
    pub(super) runs: Vec<Run>,
    /// Slowdown of the worker's prompt service in the last step.
    pub(super) slowdown: f64,
    /// Sum and number of the slowdowns since the last latency report.
    pub(super) window: (f64, u32),
}

impl Worker {
    pub(super) fn new(site: Site, number: usize) -> Self {
        let zone = ["a", "b", "c"][number % 3];
        let region = if number % 3 == 2 { "far" } else { "near" };
        let parse = |text: &str| text.parse().expect("the name is valid");
        Self {
            name: format!("w{number:04}").parse().expect("the name is valid"),
            incarnation: id::Incarnation::new(1),
            sequence: 0,
            capacity: site.capacity(),
            executor: site.executor(),
            zone: parse(zone),
            region: region.parse().expect("the name is valid"),
            rack: format!("r{}", number / site.rack_size()).parse().expect("the name is valid"),
            fails_everything: false,
            lost_until: 0.0,
            runs: Vec::new(),
            slowdown: 1.0,
            window: (0.0, 0),
        }
    }

    /// Runs the attempts for `seconds`, and returns the core-seconds of work done.
    pub(super) fn work(&mut self, now: f64, seconds: f64) -> f64 {
        if self.fails_everything {
            self.runs.iter_mut().filter(|run| run.speed() > 0.0).for_each(Run::fail);
        }
        let cores = self.capacity.cores.as_millis() as f64 / 1_000.0;
        let executor = self.executor_cores(now);
        let demand: f64 = self.runs.iter().map(|run| run.cores * run.speed()).sum();
        let share = ((cores - executor) / demand.max(0.001)).min(1.0);
        let mut parts: Vec<(Kind, f64)> = Vec::with_capacity(self.runs.len());
        let mut done = 0.0;
        for run in &mut self.runs {
            let used = run.cores * run.speed() * share;
            parts.push((run.kind, used / cores));
            let speed = run.speed() * share;
            if speed > 0.0 {
                run.advance(seconds * speed);
                done += used * seconds;
            }
        }
        let used_part = (demand + executor) / cores;
        self.slowdown = InterferenceModel::slowdown(now, &parts, used_part);
        self.window.0 += self.slowdown;
        self.window.1 += 1;
        done
    }

    fn executor_cores(&self, now: f64) -> f64 {
        let reserved = self.executor.cores.as_millis() as f64 / 1_000.0;
        reserved * EXECUTOR_USE_SHARE * InterferenceModel::load(now)
    }

    pub(super) fn heartbeat(&mut self, now: f64) -> event::Heartbeat {
        self.sequence += 1;
        let lagged = (now - USAGE_LAG.as_secs_f64()).max(0.0);
        let used = (self.executor_cores(lagged) * 1_000.0) as u64;
        let usage = size::Resources::new(used, self.executor.memory.get() / 2, 0);
        event::Heartbeat {
            worker: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            region: self.region.clone(),
            zone: self.zone.clone(),
            rack: self.rack.clone(),
            capacity: self.capacity,
            executors: vec![event::ExecutorReport {
                executor: "e0".parse().expect("the name is valid"),
                service: "search".parse().expect("the name is valid"),
                reserved: self.executor,
                usage: Some(usage),
            }],
            attempts: self.runs.iter().map(report).collect(),
            leaving: false,
            usage_age: USAGE_LAG,
        }
    }

    /// Applies the assignments that answer a heartbeat, and returns the attempts that they start.
    pub(super) fn apply<J>(
        &mut self,
        assignments: &[action::Assignment],
        job: J,
    ) -> Vec<id::AttemptId>
    where
        J: Fn(id::JobId) -> (Kind, Job),
    {
        self.runs.retain(|run| assignments.iter().any(|a| a.attempt == run.attempt));
        let mut started = Vec::new();
        for assignment in assignments {
            let known = self.runs.iter_mut().find(|run| run.attempt == assignment.attempt);
            if let Some(run) = known {
                run.apply(assignment.directive);
                continue;
            }
            let (kind, job) = job(assignment.attempt.task.job);
            let mut run = new_run(assignment, kind, &job);
            run.apply(assignment.directive);
            if !run.state.is_ended() {
                started.push(run.attempt);
            }
            self.runs.push(run);
        }
        started
    }

    /// Loses all runs, and begins a new incarnation that is unreachable until `until`, in seconds.
    pub(super) fn lose(&mut self, until: f64) {
        self.incarnation = id::Incarnation::new(self.incarnation.get() + 1);
        self.sequence = 0;
        self.lost_until = until;
        self.runs.clear();
    }
}

fn new_run(assignment: &action::Assignment, kind: Kind, job: &Job) -> Run {
    let saved = assignment.checkpoint.as_ref().map_or(0.0, |checkpoint| {
        let data: [u8; 8] = checkpoint.data.as_ref().try_into().unwrap_or_default();
        f64::from_be_bytes(data)
    });
    Run {
        attempt: assignment.attempt,
        kind,
        cores: job.cores,
        done: saved,
        total: job.seconds,
        saved,
        checkpoint_every: job.checkpoint_every,
        directive: assignment.directive,
        state: event::AttemptState::Starting,
    }
}

fn report(run: &Run) -> event::AttemptReport {
    let used = (run.cores * run.speed() * 1_000.0) as u64;
    event::AttemptReport {
        attempt: run.attempt,
        state: run.state.clone(),
        checkpoint: run.checkpoint(),
        usage: Some(size::Resources::new(used, 1_000_000_000, 0)),
    }
}
