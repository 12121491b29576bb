use std::time::Duration;

use comfreymill_types::time;

use super::Scheduler;
use super::placement::is_allowed;
use super::queue::Turn;
use super::worker::WorkerEntry;
use crate::id;
use crate::job;
use crate::worker;

/// Time after which a place is held for a task that lasts. Users count such a task as lost once it
/// has not run for nine seconds; a held worker takes some four to become free.
const HELD_AFTER: Duration = Duration::from_secs(2);
/// Least time between looks for places to hold: each looks at all workers for each task.
const HOLDING_PERIOD: Duration = Duration::from_millis(50);
/// Part of the workers that is held at most: what waits elsewhere must go on.
const MAX_HELD_DIVISOR: usize = 16;

/// # Places held for tasks that last
///
/// Short tasks go first and take each place that becomes free, so that a task that lasts and needs
/// more than one of them leaves would wait for ever on a full fleet.
impl Scheduler {
    /// Starts tasks that last and have waited for long, or holds a worker for each of them.
    pub(super) fn hold_places(&mut self, now: time::Monotonic) {
        if now.since(self.held_at) < HOLDING_PERIOD {
            return;
        }
        self.held_at = now;
        let held: Vec<(id::WorkerNumber, id::TaskId)> = self
            .workers
            .iter_mut()
            .filter_map(|(number, it)| Some((*number, it.held_for.take()?)))
            .collect();
        let most = self.workers.len() / MAX_HELD_DIVISOR + 1;
        let mut overdue = self.ready.waiting_for(now, Turn::Again, HELD_AFTER, most);
        let left = most - overdue.len();
        overdue.extend(self.ready.waiting_for(now, Turn::Lasting, HELD_AFTER, left));
        for task in overdue {
            self.start_or_hold(now, task, &held);
        }
    }

    fn start_or_hold(
        &mut self,
        now: time::Monotonic,
        task: id::TaskId,
        held: &[(id::WorkerNumber, id::TaskId)],
    ) {
        let Some(spec) = self.step_spec(task.step).cloned() else { return };
        let Some(queue) = self.jobs.get(&task.step.job).map(|job| &job.queue) else { return };
        let Some(pool) = self.routes.queue(queue).map(|queue| queue.pool.clone()) else { return };
        let image = self.interference.intern(spec.image.as_deref());
        if let Some(worker) = self.choose(now, &pool, task, &spec, image) {
            self.start(now, worker, task, &spec);
        } else if let Some(number) = self.choose_to_hold(now, &pool, task, &spec)
            && let Some(worker) = self.workers.get_mut(&number)
        {
            worker.held_for = Some(task);
            if !held.contains(&(number, task)) {
                let free = worker.free();
                log::info!(target: "runs", task:% = task, worker:% = worker.known.announced.name, free_cpu = free.cpu_milli, free_mem = free.mem_mb, needs_cpu = spec.needs.cpu_milli, needs_mem = spec.needs.mem_mb; "a worker is held for a task");
            }
        }
    }

    /// Worker that lacks least of the room for the task, and gets it when its short runs end. What
    /// is held grows, so that the same worker is chosen again.
    fn choose_to_hold(
        &self,
        now: time::Monotonic,
        pool: &str,
        task: id::TaskId,
        spec: &job::StepSpec,
    ) -> Option<id::WorkerNumber> {
        let needs = spec.reserved();
        let usable =
            self.workers.iter().filter(|(_, it)| it.is_usable(now) && it.held_for.is_none());
        let allowed = usable.filter(|(_, it)| {
            !it.runs.contains_key(&task) && is_allowed(it, pool, task.step, spec)
        });
        let clearing = allowed.filter(|(_, it)| holds_once_cleared(it, &needs));
        clearing.max_by_key(|(_, it)| it.free().cpu_milli).map(|(number, _)| *number)
    }
}

/// Whether a worker has room for `needs` once all runs have ended that end by themselves.
fn holds_once_cleared(entry: &WorkerEntry, needs: &worker::Resources) -> bool {
    let mut free = entry.free();
    for run in entry.runs.values().filter(|run| !run.is_lasting || !run.is_wanted()) {
        free += run.reserved;
    }
    free.holds(needs)
}
