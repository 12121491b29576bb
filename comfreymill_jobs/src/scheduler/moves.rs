//! Moves of tasks out of evacuated zones.
//!
//! Load pattern: a zone is emptied while the rest of the fleet is nearly full. A long-running task
//! that is stopped before there is room for it elsewhere would wait behind all short tasks, so room
//! is taken on another worker first, the run is stopped then, and the task starts there as soon as
//! its run has ended. Few tasks move at a time, and none into the room that bursts need, unless the
//! operator has waited for long.

use std::time::Duration;

use comfreymill_types::time;

use super::Scheduler;
use super::choice::is_allowed;
use super::queue::PlacementClass;
use super::run::{RunEntry, RunPhase};
use super::search::Search;
use super::task::TaskPhase;
use crate::id;
use crate::job;
use crate::worker;

/// The number of tasks that move at the same time is at most the number of all workers divided by
/// this, plus 1, so that the room that they take is a small part of the fleet's.
const MAX_MOVES_DIVISOR: usize = 16;
/// Number of searches for room in vain after which a round ends; each examines all workers.
const MAX_VAIN_SEARCHES: usize = 2;
/// Time between searches for tasks that may move; each looks at all runs of the evacuated zones.
const MOVE_PERIOD: Duration = Duration::from_millis(100);
/// Part of the usable workers' room that moves leave free for bursts, in percent.
const SPARE_PERCENT: u64 = 25;
/// Remaining time above which a task with checkpoints moves; a shorter one ends where it is, before
/// work on the zone's machines would begin.
const MIN_REMAINING: Duration = Duration::from_secs(10);

/// Task that moves to a worker on which it has reserved room.
#[derive(Clone, Copy, Debug)]
pub(super) struct Move {
    from: id::WorkerNumber,
    /// Run that is stopped for the move.
    run: id::Run,
    to: id::WorkerNumber,
    reserved: worker::Resources,
}

/// # Moves out of evacuated zones
impl Scheduler {
    /// Reserves room for tasks that may move and stops their runs, once waiting tasks were placed.
    ///
    /// A task that moves has its room in the evacuated zone. So while the rest of the fleet has
    /// little room, or tasks wait for some, it moves only when the operator has waited for long.
    pub(super) fn begin_moves(&mut self, now: time::Monotonic) {
        let is_due = now.since(self.moves_begun_at) >= MOVE_PERIOD;
        if !is_due || !self.has_evacuated_zone() {
            return;
        }
        self.moves_begun_at = now;
        if !self.has_patience_ended(now) && !self.has_room_to_spare(now) {
            return;
        }
        let most = self.workers.len() / MAX_MOVES_DIVISOR + 1;
        let mut vain_searches = 0;
        for (number, task) in self.find_movable() {
            if self.moves.len() >= most || vain_searches >= MAX_VAIN_SEARCHES {
                break;
            }
            self.move_cursor = Some(task);
            vain_searches += usize::from(!self.begin_move(now, number, task));
        }
    }

    /// Returns whether no task waits for room, and enough of the usable workers' is free.
    fn has_room_to_spare(&self, now: time::Monotonic) -> bool {
        let mut classes = [PlacementClass::Short, PlacementClass::Lasting].into_iter();
        if classes.any(|class| self.ready.first(class).is_some()) {
            return false;
        }
        let (mut cpu, mut mem) = ((0, 0), (0, 0));
        for entry in self.workers.values().filter(|entry| entry.is_usable(now)) {
            let (capacity, free) = (entry.announcement.capacity, entry.free());
            cpu = (cpu.0 + u64::from(free.cpu_milli), cpu.1 + u64::from(capacity.cpu_milli));
            mem = (mem.0 + u64::from(free.mem_mb), mem.1 + u64::from(capacity.mem_mb));
        }
        [cpu, mem].iter().all(|(free, all)| free * 100 >= all * SPARE_PERCENT)
    }

    /// Triggers a placement when tasks to move are to be looked for.
    pub(super) fn retry_moves(&mut self, now: time::Monotonic) {
        let is_due = now.since(self.moves_begun_at) >= MOVE_PERIOD;
        self.needs_placement |= is_due && self.has_evacuated_zone();
    }

    /// Returns the tasks that may move, beginning after the one that was tried last.
    fn find_movable(&self) -> Vec<(id::WorkerNumber, id::TaskId)> {
        // Workers of a zone that returns may be closed as well, but their tasks stay.
        let zones: Vec<&id::ZoneName> = self.evacuated_zones().collect();
        let evacuated = self.workers.iter();
        let evacuated = evacuated.filter(|(_, worker)| zones.iter().any(|zone| worker.is_in(zone)));
        let runs = evacuated.flat_map(|(number, worker)| {
            worker.runs.iter().map(move |(task, run)| (*number, *task, run))
        });
        let movable = runs.filter(|(number, task, run)| self.may_move(*number, *task, run));
        let mut movable: Vec<_> = movable.map(|(number, task, _)| (number, task)).collect();
        movable.sort_unstable_by_key(|(_, task)| (Some(*task) <= self.move_cursor, *task));
        movable
    }

    fn may_move(&self, number: id::WorkerNumber, task: id::TaskId, run: &RunEntry) -> bool {
        if !matches!(run.phase, RunPhase::Running { .. }) || self.moves.contains_key(&task) {
            return false;
        }
        let Some(spec) = self.step_spec(task.step) else { return false };
        if spec.is_gang {
            return false;
        }
        let is_wanted =
            spec.is_long_running || (spec.has_checkpoints && remaining(spec, run) >= MIN_REMAINING);
        is_wanted
            && self.task(task).is_some_and(|entry| entry.phase == TaskPhase::Placed(number))
            && spec.max_away.is_none_or(|most| self.count_away(task) < usize::from(most))
    }

    /// Returns how many other tasks of the task's step are not at work.
    fn count_away(&self, task: id::TaskId) -> usize {
        let Some(count) = self.step_spec(task.step).map(|spec| spec.count) else { return 0 };
        let others = (0..count).filter(|index| *index != task.index);
        others.filter(|index| !self.is_at_work(task.step.task(*index))).count()
    }

    fn is_at_work(&self, task: id::TaskId) -> bool {
        let Some(TaskPhase::Placed(number)) = self.task(task).map(|entry| entry.phase) else {
            return false;
        };
        let run = self.workers.get(&number).and_then(|worker| worker.runs.get(&task));
        run.is_some_and(|run| matches!(run.phase, RunPhase::Running { .. }) && run.percent >= 100)
    }

    /// Reserves room for a task on another worker and stops its run; returns `false` if no worker
    /// has room.
    fn begin_move(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        task: id::TaskId,
    ) -> bool {
        let Some(spec) = self.step_spec(task.step).cloned() else { return true };
        // An earlier move of this round may have made too many tasks of the step unavailable.
        if spec.max_away.is_some_and(|most| self.count_away(task) >= usize::from(most)) {
            return true;
        }
        let Some(pool) = self.pool_of(task) else { return true };
        let image = self.interference.intern(spec.image.as_deref());
        let pool = self.workers.pool(&pool);
        let search = Search { now, pool, task, spec: &spec, image };
        let Some(to) = self.choose_worker(search) else {
            log::debug!(target: "evacuations", task:% = task, worker:% = number; "no other worker has room for a task of an evacuated zone");
            return false;
        };
        if !self.may_join(to, task, &spec) {
            return true;
        }
        let Some(run) = self.task(task).map(|entry| entry.run) else { return true };
        let reserved = spec.reserved();
        let Some(entry) = self.workers.get_mut(&to) else { return true };
        entry.reserve(reserved);
        let to_zone = entry.announcement.zone.clone();
        let Some(entry) = self.workers.get(&number) else { return true };
        log::info!(target: "evacuations", task:% = task, from:% = number, from_zone = entry.announcement.zone.as_str(), to:% = to, to_zone = to_zone.as_str(), moving = self.moves.len() + 1; "a task moves out of an evacuated zone");
        self.moves.insert(task, Move { from: number, run, to, reserved });
        self.stop(now, number, task);
        true
    }

    /// Returns whether the limit on the step's tasks on a worker leaves room for the task beside
    /// those that are about to move there.
    fn may_join(&self, to: id::WorkerNumber, task: id::TaskId, spec: &job::StepSpec) -> bool {
        let step = task.step.task(0)..=task.step.task(u16::MAX);
        let coming = self.moves.range(step.clone()).filter(|(_, m)| m.to == to).count();
        let running = self.workers.get(&to).map_or(0, |entry| entry.runs.range(step).count());
        spec.max_per_worker.is_none_or(|most| running + coming < usize::from(most))
    }

    /// Starts the tasks whose runs have ended on the workers where they have room.
    pub(super) fn finish_moves(&mut self, now: time::Monotonic) {
        // After a withdrawal, the task may have started again where it was.
        let is_stopping = |task: id::TaskId, m: &Move| {
            let entry = self.task(task);
            entry.is_some_and(|e| e.phase == TaskPhase::Placed(m.from) && e.run == m.run)
        };
        let over = self.moves.iter().filter(|(task, m)| !is_stopping(**task, m));
        let over: Vec<id::TaskId> = over.map(|(task, _)| *task).collect();
        for task in over {
            let Some(Move { to, reserved, .. }) = self.moves.remove(&task) else { continue };
            if let Some(entry) = self.workers.get_mut(&to) {
                entry.unreserve(reserved);
            }
            let is_ready = self.task(task).is_some_and(|entry| entry.phase == TaskPhase::Ready);
            let Some(spec) = self.step_spec(task.step).cloned() else { continue };
            if !is_ready {
                continue;
            }
            if self.can_take(now, to, task, &spec) {
                self.start(now, to, task, &spec);
            } else {
                let entry = self.workers.get(&to);
                let is_usable = entry.is_some_and(|entry| entry.is_usable(now));
                log::info!(target: "evacuations", task:% = task, worker:% = to, is_known = entry.is_some(), is_usable; "a task of an evacuated zone waits, since the worker chosen for it cannot take it any more");
            }
        }
    }

    /// Returns whether a worker still may take the task that has reserved room on it.
    fn can_take(
        &self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        task: id::TaskId,
        spec: &job::StepSpec,
    ) -> bool {
        let Some(pool) = self.pool_of(task) else { return false };
        self.workers.get(&number).is_some_and(|entry| {
            entry.is_usable(now)
                && entry.clock.is_some()
                && !entry.runs.contains_key(&task)
                && entry.free().covers(&spec.reserved())
                && is_allowed(entry, &pool, task.step, spec)
        })
    }

    fn pool_of(&self, task: id::TaskId) -> Option<String> {
        let job = self.jobs.get(&task.step.job)?;
        self.routes.queue(&job.queue).map(|queue| queue.pool.clone())
    }
}

/// Returns the rest of a run's estimated duration.
fn remaining(spec: &job::StepSpec, run: &RunEntry) -> Duration {
    let left_percent = 100_u32.saturating_sub(run.percent);
    Duration::from_millis(u64::from(spec.estimate_ms) * u64::from(left_percent) / 100)
}
