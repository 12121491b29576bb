use std::time::Duration;

use comfreymill_types::time;

use super::Scheduler;
use super::choice::is_allowed;
use super::queue::PlacementClass;
use super::run::RunEntry;
use super::worker::WorkerEntry;
use crate::id;
use crate::job;

/// Time between log lines on the state of the fleet.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Counts of the workers that may run a waiting task, and of the reasons why they don't.
#[derive(Debug, Default)]
struct WorkerCounts {
    allowed: u64,
    with_room: u64,
    backing_off: u64,
    unresponsive: u64,
    unanswered: u64,
    held: u64,
    most_free_cpu: u32,
    most_free_mem: u32,
}

/// Counts of the runs on the fleet.
#[derive(Debug, Default)]
struct RunCounts {
    runs: u64,
    serving: u64,
    /// Serving tasks whose tail latency is at or above its target.
    over_target: u64,
    /// Those of them on workers with fillers that are not paused.
    over_beside_fillers: u64,
    fillers: u64,
    long_running_fillers: u64,
    /// Fillers below full speed.
    slowed: u64,
    /// Fillers that are paused.
    paused: u64,
}

impl RunCounts {
    fn add(&mut self, worker: &WorkerEntry) {
        let is_working = |run: &RunEntry| run.kind == job::StepKind::Filler && run.pace > 0;
        let has_fillers = worker.runs.values().any(is_working);
        for run in worker.runs.values() {
            self.runs += 1;
            let is_over = run
                .tail_target_ms
                .is_some_and(|target| run.load.is_some_and(|tail| tail >= target));
            self.serving += u64::from(run.kind == job::StepKind::Serving);
            self.over_target += u64::from(is_over);
            self.over_beside_fillers += u64::from(is_over && has_fillers);
            let is_filler = run.kind == job::StepKind::Filler;
            self.fillers += u64::from(is_filler);
            self.long_running_fillers += u64::from(is_filler && run.is_long_running);
            self.slowed += u64::from(is_filler && run.pace < 100);
            self.paused += u64::from(is_filler && run.pace == 0);
        }
    }
}

/// # Periodic log lines on the fleet
impl Scheduler {
    /// Logs the state of the fleet and the first waiting task of each class, once per
    /// `REPORT_PERIOD`.
    pub(super) fn report_fleet(&mut self, now: time::Monotonic) {
        if now.since(self.fleet_logged_at) < REPORT_PERIOD {
            return;
        }
        self.fleet_logged_at = now;
        let usable = self.workers.values().filter(|worker| worker.is_usable(now)).count();
        let mut counts = RunCounts::default();
        for worker in self.workers.values() {
            counts.add(worker);
        }
        let spare: i64 = self.workers.values().map(|worker| worker.spare_cpu().max(0)).sum();
        let used =
            self.workers.values().map(|worker| self.filler_shares(worker).values().sum::<f64>());
        let used: f64 = used.sum();
        let held = self.held.iter().filter_map(|number| self.workers.get(number));
        let held_cpu: u64 = held.map(|worker| u64::from(worker.free().cpu_milli)).sum();
        log::info!(target: "fleet", jobs = self.jobs.len(), ready = self.ready.len(), usable, workers = self.workers.len(), held = self.held.len(), held_cpu_milli = held_cpu, runs = counts.runs, serving = counts.serving, over_target = counts.over_target, over_beside_fillers = counts.over_beside_fillers, fillers = counts.fillers, lasting_fillers = counts.long_running_fillers, slowed = counts.slowed, resting = counts.paused, spare_cpu_milli = spare.max(0) as u64, filler_share_percent = (used * 100.0) as u64; "state of the fleet");
        self.report_queues(now);
        for class in [PlacementClass::Short, PlacementClass::Lasting, PlacementClass::Filling] {
            if let Some(task) = self.ready.first(class) {
                self.report_waiting(now, class, task);
            }
        }
    }

    /// Logs the first waiting task of a class, and how many workers of its pool could run it.
    fn report_waiting(&self, now: time::Monotonic, class: PlacementClass, task: id::TaskId) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let Some(spec) = job.spec.steps.get(usize::from(task.step.step)) else { return };
        let queue = self.routes.queue(&job.queue);
        let pool = queue.map(|queue| queue.pool.as_str()).unwrap_or_default();
        let needs = spec.reserved();
        let mut counts = WorkerCounts::default();
        let workers = self.workers.values();
        for entry in workers.filter(|worker| is_allowed(worker, pool, task.step, spec)) {
            let free = entry.free();
            counts.allowed += 1;
            counts.most_free_cpu = counts.most_free_cpu.max(free.cpu_milli);
            counts.most_free_mem = counts.most_free_mem.max(free.mem_mb);
            if free.covers(&needs) {
                counts.with_room += 1;
                counts.backing_off += u64::from(now < entry.backoff_until);
                counts.unresponsive += u64::from(entry.is_unresponsive);
                counts.unanswered += u64::from(!entry.has_answered);
                counts.held += u64::from(entry.is_held);
            }
        }
        let accepted_ms = now.since(job.accepted_at).as_millis() as u64;
        let began = self.ready.waiting(task.step).1.unwrap_or(now);
        log::info!(target: "runs", task:% = task, turn:? = class, pool = pool, needs_cpu = needs.cpu_milli, needs_mem = needs.mem_mb, allowed = counts.allowed, with_room = counts.with_room, resting = counts.backing_off, silent = counts.unresponsive, unheard = counts.unanswered, held = counts.held, most_free_cpu = counts.most_free_cpu, most_free_mem = counts.most_free_mem, waiting = self.ready.len(), routes = self.routes.version, since_accepted_ms = accepted_ms, waited_ms:% = now.since(began).as_millis(); "a task waits for a worker");
    }
}
