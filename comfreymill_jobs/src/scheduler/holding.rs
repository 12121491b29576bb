use std::cmp;
use std::collections::BTreeSet;
use std::mem;
use std::time::Duration;

use comfreymill_types::time;

use super::Scheduler;
use super::queue::{Lateness, PlacementClass};
use super::score::Scorer;
use super::search::Search;
use super::without_room::{Kind, WithoutRoom};
use super::worker::WorkerEntry;
use super::workers::PoolId;
use crate::id;
use crate::job;
use crate::worker;

/// Waiting time after which a worker is held for a long-running task. Users count such a task as
/// lost once it has not run for 9 s, and a held worker takes about 4 s to become free.
const HOLD_AFTER: Duration = Duration::from_secs(2);
/// Waiting time after which a worker is held for a short task that can still be in time. It covers
/// the answers and commits of ends on other workers that give it room at once.
const SHORT_HOLD_AFTER: Duration = Duration::from_millis(100);
/// Minimum time between updates of the held workers.
const HOLD_UPDATE_PERIOD: Duration = Duration::from_millis(50);
/// The number of workers held for one class of tasks is at most the number of all workers divided
/// by this, plus 1, so that other waiting tasks still get placed.
const MAX_HELD_DIVISOR: usize = 16;

/// # Workers held for tasks that need more than one short task frees
///
/// Load pattern: on a full fleet, each short task that ends gives room to another one of its size.
/// Short tasks are placed first and take all capacity that becomes free, so a long-running task that
/// needs more would wait forever, and so would a large short task, however urgent: less urgent ones
/// that fit take each piece before two are together. Another long-running task that has waited for as
/// long does take held room in which it fits: callers count it as lost beside room.
impl Scheduler {
    /// Starts tasks that have waited for long, or holds a worker for each of them.
    pub(super) fn hold_workers(&mut self, now: time::Monotonic) {
        if now.since(self.holds_updated_at) < HOLD_UPDATE_PERIOD {
            return;
        }
        self.holds_updated_at = now;
        let held = mem::take(&mut self.held);
        for number in &held {
            if let Some(worker) = self.workers.get_mut(number) {
                worker.is_held = false;
            }
        }
        let most = self.workers.len() / MAX_HELD_DIVISOR + 1;
        let mut without_room = WithoutRoom::default();
        let class = PlacementClass::Lasting;
        let lasting = self.ready.waiting_at_least(now, class, HOLD_AFTER, usize::MAX);
        let lasting = self.start_on_held(now, &held, lasting);
        // Long-running tasks first: they have waited longer, and would lose the room that becomes free
        // for them to short ones, which come all the time.
        for task in lasting.into_iter().take(most).chain(self.urgent_short(now, most)) {
            self.start_or_hold(now, task, &mut without_room);
        }
    }

    /// Starts long-running tasks on the workers `held` for tasks that need more room than there is so
    /// far; returns the other tasks.
    fn start_on_held(
        &mut self,
        now: time::Monotonic,
        held: &[id::WorkerNumber],
        tasks: Vec<id::TaskId>,
    ) -> Vec<id::TaskId> {
        // One search for each step is enough: its tasks have the same needs.
        let mut without_room = BTreeSet::new();
        let mut others = Vec::new();
        for task in tasks {
            let is_searched = !held.is_empty() && !without_room.contains(&task.step);
            let found = is_searched.then(|| self.choose_among(now, held, task)).flatten();
            if let Some((number, spec)) = found {
                self.start(now, number, task, &spec);
            } else {
                without_room.insert(task.step);
                others.push(task);
            }
        }
        others
    }

    /// Returns the one of some workers with the highest score for a task among those that have room,
    /// and the specification of the task.
    fn choose_among(
        &mut self,
        now: time::Monotonic,
        numbers: &[id::WorkerNumber],
        task: id::TaskId,
    ) -> Option<(id::WorkerNumber, job::StepSpec)> {
        let spec = self.step_spec(task.step)?.clone();
        let pool = &self.routes.queue(&self.jobs.get(&task.step.job)?.queue)?.pool;
        let image = self.interference.intern(spec.image.as_deref());
        let scorer = Scorer::new(&self.interference, &spec, image);
        self.steps += numbers.len() as u64;
        let has_crashes = self.is_started_apart(task);
        let scored = numbers.iter().filter_map(|number| {
            let worker = self.workers.get(number)?;
            let is_fit = worker.announcement.pool == *pool && worker.fits(now, task, &spec);
            let score = scorer.score(worker).filter(|_| is_fit)?;
            Some((score - worker.isolation_penalty(now, has_crashes), cmp::Reverse(*number)))
        });
        let (_, cmp::Reverse(number)) = scored.max()?;
        Some((number, spec))
    }

    /// Returns up to `most` short tasks that have waited for `SHORT_HOLD_AFTER` and can still be in
    /// time, the most urgent first. Tasks to which racks matter are left out: which worker is worth a
    /// wait is decided with their rack.
    fn urgent_short(&self, now: time::Monotonic, most: usize) -> Vec<id::TaskId> {
        let steps = self.ready.steps().into_iter();
        let steps = steps.take_while(|(rank, _)| rank.class == PlacementClass::Short);
        let urgent = steps.filter(|(rank, step)| {
            let end = now + Duration::from_millis(rank.remaining_ms);
            let began = self.ready.waiting(*step).1;
            let spec = self.step_spec(*step);
            rank.lateness(end) == Lateness::InTime
                && spec.is_some_and(|spec| spec.data_rack.is_none() && !spec.is_rack_sensitive)
                && began.is_some_and(|began| now.since(began) >= SHORT_HOLD_AFTER)
        });
        let tasks = urgent.flat_map(|(_, step)| {
            self.ready.tasks(step).into_iter().map(move |index| step.task(index))
        });
        tasks.take(most).collect()
    }

    /// Starts a task or holds a worker for it, unless neither is possible for the same needs.
    fn start_or_hold(
        &mut self,
        now: time::Monotonic,
        task: id::TaskId,
        without_room: &mut WithoutRoom,
    ) {
        let Some(spec) = self.step_spec(task.step).cloned() else { return };
        let Some(queue) = self.jobs.get(&task.step.job).map(|job| &job.queue) else { return };
        let Some(queue) = self.routes.queue(queue) else { return };
        let pool = self.workers.pool(&queue.pool);
        let image = self.interference.intern(spec.image.as_deref());
        let kind = Kind {
            pool,
            filler: spec.is_filler.then_some(image),
            required_label: spec.required_label.clone(),
        };
        if without_room.includes(&kind, &spec.needs) {
            return;
        }
        let search = Search { now, pool, task, spec: &spec, image };
        if let Some(worker) = self.choose_worker(search) {
            self.start(now, worker, task, &spec);
        } else if let Some(number) = self.choose_worker_to_hold(now, pool, task, &spec)
            && let Some(worker) = self.workers.get_mut(&number)
        {
            if !spec.is_long_running && frees_room_at_once(worker, &spec.reserved()) {
                return;
            }
            worker.is_held = true;
            self.held.push(number);
            log::debug!(target: "runs", task:% = task, worker:% = worker.replicated.announced.name; "a worker is held for a task");
        } else if spec.max_per_worker.is_none() {
            without_room.add(kind, spec.needs);
        }
    }

    /// Returns the worker with the most free processor time among those that will have room for the
    /// task once their short runs end. Its free capacity grows while it is held, so later calls
    /// choose the same worker.
    fn choose_worker_to_hold(
        &mut self,
        now: time::Monotonic,
        pool: PoolId,
        task: id::TaskId,
        spec: &job::StepSpec,
    ) -> Option<id::WorkerNumber> {
        let needs = spec.reserved();
        let mut best = None;
        self.steps += self.workers.refresh(now);
        self.steps += self.workers.roomiest(pool, |number, worker| {
            let is_clearing = worker.is_placeable(now)
                && !worker.runs.contains_key(&task)
                && has_room_once_cleared(worker, &needs)
                && worker.is_within_limits(task.step, spec);
            if is_clearing {
                best = best.max(Some((worker.free().cpu_milli, number)));
            }
            is_clearing
        });
        best.map(|(_, number)| number)
    }
}

/// Returns whether a worker has room for `needs` once all runs have ended except the long-running
/// ones that are not being stopped.
fn has_room_once_cleared(entry: &WorkerEntry, needs: &worker::Resources) -> bool {
    entry.announcement.capacity.saturating_sub(&entry.lasting).covers(needs)
}

/// Returns whether one short run on a worker gives room for `needs` by itself when it ends.
fn frees_room_at_once(entry: &WorkerEntry, needs: &worker::Resources) -> bool {
    let mut short = entry.runs.values().filter(|run| !run.is_lasting());
    short.any(|run| run.reserved.covers(needs))
}
