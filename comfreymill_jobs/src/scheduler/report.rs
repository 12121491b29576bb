use std::time::Duration;

use comfreymill_types::time;

use super::Scheduler;
use super::placement::is_allowed;
use super::queue::Turn;
use super::run::RunEntry;
use super::worker::WorkerEntry;
use crate::id;
use crate::job;

/// Time between log lines on the state of the fleet.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Counts of the workers that may run a waiting task, and of the reasons why they don't.
#[derive(Debug, Default)]
struct Room {
    allowed: u64,
    roomy: u64,
    resting: u64,
    silent: u64,
    unheard: u64,
    most_free_cpu: u32,
    most_free_mem: u32,
}

/// Counts of the runs on the fleet.
#[derive(Debug, Default)]
struct Load {
    runs: u64,
    serving: u64,
    /// Serving tasks whose tail latency is at or above its target.
    over: u64,
    /// Those of them on workers with fillers that are not paused.
    over_beside_fillers: u64,
    fillers: u64,
    lasting_fillers: u64,
    /// Fillers below full speed.
    slowed: u64,
    /// Fillers that are paused.
    resting: u64,
}

impl Load {
    fn add(&mut self, worker: &WorkerEntry) {
        let at_work = |run: &RunEntry| run.kind == job::StepKind::Filler && run.pace > 0;
        let has_fillers = worker.runs.values().any(at_work);
        for run in worker.runs.values() {
            self.runs += 1;
            let is_over = run
                .tail_target_ms
                .is_some_and(|target| run.load.is_some_and(|tail| tail >= target));
            self.serving += u64::from(run.kind == job::StepKind::Serving);
            self.over += u64::from(is_over);
            self.over_beside_fillers += u64::from(is_over && has_fillers);
            let is_filler = run.kind == job::StepKind::Filler;
            self.fillers += u64::from(is_filler);
            self.lasting_fillers += u64::from(is_filler && run.is_lasting);
            self.slowed += u64::from(is_filler && run.pace < 100);
            self.resting += u64::from(is_filler && run.pace == 0);
        }
    }
}

/// # Periodic log lines on the fleet
impl Scheduler {
    /// Logs the state of the fleet and the first waiting task of each class, once per
    /// `REPORT_PERIOD`.
    pub(super) fn report_fleet(&mut self, now: time::Monotonic) {
        if now.since(self.reported_at) < REPORT_PERIOD {
            return;
        }
        self.reported_at = now;
        let usable = self.workers.values().filter(|worker| worker.is_usable(now)).count();
        let mut all = Load::default();
        for worker in self.workers.values() {
            all.add(worker);
        }
        let spare: i64 = self.workers.values().map(|worker| worker.spare_cpu().max(0)).sum();
        let used = self.workers.values().map(|worker| self.mix(worker).values().sum::<f64>());
        let used: f64 = used.sum();
        log::info!(target: "fleet", jobs = self.jobs.len(), ready = self.ready.len(), usable, workers = self.workers.len(), runs = all.runs, serving = all.serving, over_target = all.over, over_beside_fillers = all.over_beside_fillers, fillers = all.fillers, lasting_fillers = all.lasting_fillers, slowed = all.slowed, resting = all.resting, spare_cpu_milli = spare.max(0) as u64, filler_share_percent = (used * 100.0) as u64; "state of the fleet");
        for turn in [Turn::Short, Turn::Lasting, Turn::Filling] {
            if let Some(task) = self.ready.first(turn) {
                self.report_waiting(now, turn, task);
            }
        }
    }

    /// Logs the first waiting task of a class, and how many workers of its pool could run it.
    fn report_waiting(&self, now: time::Monotonic, turn: Turn, task: id::TaskId) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let Some(spec) = job.spec.steps.get(usize::from(task.step.step)) else { return };
        let queue = self.routes.queue(&job.queue);
        let pool = queue.map(|queue| queue.pool.as_str()).unwrap_or_default();
        let needs = spec.reserved();
        let mut room = Room::default();
        let workers = self.workers.values();
        for entry in workers.filter(|worker| is_allowed(worker, pool, task.step, spec)) {
            let free = entry.free();
            room.allowed += 1;
            room.most_free_cpu = room.most_free_cpu.max(free.cpu_milli);
            room.most_free_mem = room.most_free_mem.max(free.mem_mb);
            if free.holds(&needs) {
                room.roomy += 1;
                room.resting += u64::from(now < entry.rests_until);
                room.silent += u64::from(entry.is_silent);
                room.unheard += u64::from(!entry.is_heard);
            }
        }
        let accepted_ms = now.since(job.accepted_at).as_millis() as u64;
        log::info!(target: "runs", task:% = task, turn:? = turn, pool = pool, needs_cpu = needs.cpu_milli, needs_mem = needs.mem_mb, allowed = room.allowed, with_room = room.roomy, resting = room.resting, silent = room.silent, unheard = room.unheard, most_free_cpu = room.most_free_cpu, most_free_mem = room.most_free_mem, waiting = self.ready.len(), routes = self.routes.version, since_accepted_ms = accepted_ms; "a task waits for a worker");
    }
}
