use std::collections::BTreeMap;
use std::time::Duration;

use comfreymill_types::time;

use super::interference::ImageId;
use super::run::{RunEntry, RunPhase};
use super::task::TaskPhase;
use super::worker::WorkerEntry;
use super::{Order, Scheduler};
use crate::id;
use crate::job;
use crate::worker;

/// Time for which a start order may wait to be sent; workers that are leaving and callers that
/// cancel a job allow a few seconds until the last start.
const START_VALIDITY: Duration = Duration::from_secs(1);
/// Bonus in the score of a worker that is near the data, in thousandths of a core.
const DATA_RACK_BONUS: i64 = 100_000;
/// Bonus for each serving task of the same image on the worker, in thousandths of a core.
const SAME_IMAGE_BONUS: i64 = 20_000;
/// Penalty for each serving task of another image on the worker, in thousandths of a core.
const OTHER_IMAGE_PENALTY: i64 = 20_000;
/// Penalty for each unit of slack that a serving task would lose, in thousandths of a core.
const LOSS_PENALTY: f64 = 50_000.0;
/// Penalty for a serving task, for each unit of the effect of a filler on the worker, in
/// thousandths of a core.
const FILLER_EFFECT_PENALTY: f64 = 2_000.0;
/// Part of a filler's processor demand that has to be idle on its worker, in percent.
const MIN_IDLE_PERCENT: i64 = 50;

/// Resource needs for which no worker had room in this round, by pool and, for fillers, image.
type Unplaceable = BTreeMap<(String, Option<ImageId>), Vec<worker::Resources>>;

/// # Placement of ready tasks
impl Scheduler {
    /// Places ready tasks on workers, if anything has changed since the last call.
    pub fn place(&mut self, now: time::Monotonic) {
        if !self.needs_placement || self.is_fenced {
            return;
        }
        self.needs_placement = false;
        self.placed_at = now;
        self.hold_workers(now);
        if self.ready.is_empty() {
            return;
        }
        let mut unplaceable = Unplaceable::new();
        for step in self.steps_by_lateness(now) {
            self.place_step(now, step, &mut unplaceable);
        }
    }

    /// Returns the ready steps in the order in which to place them.
    ///
    /// Load pattern: a burst of jobs needs more room than there is. With the earliest due time first,
    /// each job would get its room shortly after it could have been completed in time. So within a
    /// class and priority, jobs that can still be in time go before late ones, and these before those
    /// that are too late to be of use, which get what is left.
    fn steps_by_lateness(&self, now: time::Monotonic) -> Vec<id::StepId> {
        let mut steps = self.ready.steps();
        steps.sort_by_cached_key(|(rank, step)| {
            let spec = self.jobs.get(&step.job).map(|job| &job.spec);
            let remaining = spec.map_or(0, |spec| spec.remaining_path_ms(step.step));
            let end = now + Duration::from_millis(remaining);
            (rank.class, rank.priority, rank.lateness(end), rank.due_at)
        });
        steps.into_iter().map(|(_, step)| step).collect()
    }

    fn place_step(
        &mut self,
        now: time::Monotonic,
        step: id::StepId,
        unplaceable: &mut Unplaceable,
    ) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(queue) = self.routes.queue(&job.queue) else { return };
        let pool = queue.pool.clone();
        let Some(spec) = job.spec.steps.get(usize::from(step.step)).cloned() else { return };
        let image = self.interference.intern(spec.image.as_deref());
        let filler = (spec.kind() == job::StepKind::Filler).then_some(image);
        let kind = (pool.clone(), filler);
        let is_unplaceable =
            |list: &Vec<worker::Resources>| list.iter().any(|needs| spec.needs.covers(needs));
        if unplaceable.get(&kind).is_some_and(is_unplaceable) {
            return;
        }
        for index in self.ready.tasks(step) {
            if filler.is_some() {
                self.compute_headroom();
            }
            let Some(worker) = self.choose_worker(now, &pool, step.task(index), &spec, image)
            else {
                let has_worker_limits =
                    spec.required_label.is_some() || spec.max_per_worker.is_some();
                if !has_worker_limits {
                    unplaceable.entry(kind).or_default().push(spec.needs);
                }
                return;
            };
            self.start(now, worker, step.task(index), &spec);
        }
    }

    /// Returns the worker with the highest score for a task of the step, among those that have
    /// room.
    pub(super) fn choose_worker(
        &self,
        now: time::Monotonic,
        pool: &str,
        task: id::TaskId,
        spec: &job::StepSpec,
        image: ImageId,
    ) -> Option<id::WorkerNumber> {
        let fitting = self.workers.iter();
        let fitting = fitting.filter(|(_, worker)| self.fits(now, worker, pool, task, spec));
        let has_crashes = self.crash_record(task).crashes > 0;
        let scored = fitting.filter_map(|(number, worker)| {
            let penalty = worker.isolation_penalty(now, has_crashes);
            Some((self.score(worker, spec, image)? - penalty, *number))
        });
        let best = scored.max_by_key(|(score, number)| (*score, std::cmp::Reverse(*number)));
        best.map(|(_, number)| number)
    }

    /// Returns whether a worker may run a task of the step and has room for it.
    pub(super) fn fits(
        &self,
        now: time::Monotonic,
        entry: &WorkerEntry,
        pool: &str,
        task: id::TaskId,
        spec: &job::StepSpec,
    ) -> bool {
        // A worker that is still stopping a run of the task cannot get another run of it.
        entry.is_usable(now)
            && !entry.runs.contains_key(&task)
            && entry.clock.is_some()
            && !entry.is_held
            && entry.free().covers(&spec.reserved())
            && is_allowed(entry, pool, task.step, spec)
    }

    /// Returns the score of a worker for a task of the step, or `None` if the task must not run
    /// there; higher is better.
    fn score(&self, entry: &WorkerEntry, spec: &job::StepSpec, image: ImageId) -> Option<i64> {
        let mut score = match spec.kind() {
            job::StepKind::Plain => -i64::from(entry.free().cpu_milli),
            job::StepKind::Serving => self.score_serving(entry, image),
            job::StepKind::Filler => self.score_filler(entry, spec, image)?,
        };
        let labels = &entry.announcement.labels;
        if spec.data_rack.as_ref().is_some_and(|rack| labels.contains(rack)) {
            score += DATA_RACK_BONUS;
        }
        Some(score)
    }

    /// Returns the score of a worker for a serving task. Tasks of one image are packed together: a
    /// filler that slows down one of them slows down all, so this leaves more workers without
    /// images that a given filler affects.
    fn score_serving(&self, entry: &WorkerEntry, image: ImageId) -> i64 {
        let mut score = -i64::from(entry.free().cpu_milli);
        for (other, count) in &entry.serving {
            let count = i64::from(*count);
            score += if *other == image { SAME_IMAGE_BONUS } else { -OTHER_IMAGE_PENALTY } * count;
        }
        for run in entry.runs.values().filter(|run| run.kind == job::StepKind::Filler) {
            let effect = self.interference.effect(image, run.image);
            score -= (effect * FILLER_EFFECT_PENALTY) as i64;
        }
        score
    }

    /// Returns the score of a worker for a filler. Fillers go where processors are idle and the
    /// loss of slack is small; a worker without idle processors or headroom is excluded.
    fn score_filler(
        &self,
        entry: &WorkerEntry,
        spec: &job::StepSpec,
        image: ImageId,
    ) -> Option<i64> {
        if !self.admits_filler(entry, spec, image) {
            return None;
        }
        let spare = entry.spare_cpu();
        if spare < i64::from(spec.needs.cpu_milli) * MIN_IDLE_PERCENT / 100 {
            return None;
        }
        let share = entry.share(spec.needs.cpu_milli);
        let serving = entry.serving.keys();
        let effects = serving.map(|other| self.interference.effect(*other, image));
        let loss = effects.fold(0.0, f64::max) * share;
        Some(spare - (loss * LOSS_PENALTY) as i64)
    }

    /// Starts a task on a worker, and grants the worker a lease for it.
    pub(super) fn start(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        task: id::TaskId,
        spec: &job::StepSpec,
    ) {
        let cfg = self.cfg;
        let image = self.interference.intern(spec.image.as_deref());
        let Some(entry) = self.task_mut(task) else { return };
        let (last, checkpoint) = (entry.run, entry.checkpoint.clone());
        let has_crashes = entry.crashes.crashes > 0;
        let run = self.next_run(last);
        let Some(worker) = self.workers.get_mut(&number) else { return };
        let Some(lease_until_ms) = worker.grant_lease(&cfg, now) else { return };
        let entry = RunEntry::new(run, RunPhase::Starting, spec, image, now);
        worker.add(task, entry);
        worker.record_start(now, has_crashes);
        worker.next_poll_at = worker.next_poll_at.min(now + cfg.get_mixed_poll_period());
        let free = worker.free();
        let report_age_ms = now.since(worker.reported_at).as_millis() as u64;
        let tails = worker.serving.len();
        let name = worker.replicated.announced.name.clone();
        self.ready.remove(task);
        if let Some(entry) = self.task_mut(task) {
            entry.phase = TaskPhase::Placed(number);
            entry.run = run;
        }
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let waited_ms = now.since(job.accepted_at).as_millis();
        log::info!(target: "runs", task:% = task, run:% = run, worker:% = name, number:% = number, free_cpu = free.cpu_milli, free_mem = free.mem_mb, report_age_ms, serving_images = tails, routes = self.routes.version, since_accepted_ms:% = waited_ms; "a task is started");
        let spec = job.spec.clone();
        let worker = number;
        let valid_until = now + START_VALIDITY;
        self.orders.push(Order::Start {
            worker,
            task,
            run,
            spec,
            lease_until_ms,
            checkpoint,
            valid_until,
        });
    }
}

/// Returns whether the step's tasks may run on the worker, regardless of free resources.
pub(super) fn is_allowed(
    entry: &WorkerEntry,
    pool: &str,
    step: id::StepId,
    spec: &job::StepSpec,
) -> bool {
    let announcement = &entry.announcement;
    if announcement.pool != pool {
        return false;
    }
    if spec.required_label.as_ref().is_some_and(|label| !announcement.labels.contains(label)) {
        return false;
    }
    spec.max_per_worker.is_none_or(|most| {
        let range = step.task(0)..=step.task(u16::MAX);
        entry.runs.range(range).count() < usize::from(most)
    })
}
