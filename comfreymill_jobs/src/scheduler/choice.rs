//! Choice of a worker for a task.
//!
//! Load pattern: a thousand starts a second on hundreds of workers that are nearly full. A plain
//! task is searched for by free room, where the first worker that it fits on is the best. Serving
//! tasks and fillers are searched for by score, which is computed again only for workers that have
//! changed since the last search for the same image and needs; what the reports of other workers
//! taught about the image since then is taken into account for the best workers only.

use comfreymill_types::time;

use super::Scheduler;
use super::interference::ImageId;
use super::score::Scorer;
use super::search::Search;
use super::worker::WorkerEntry;
use super::workers::ScoreKey;
use crate::id;
use crate::job;

/// Maximum number of workers whose scores are corrected in one search.
const MAX_CORRECTED: u32 = 8;

/// # Choice of a worker for a task
impl Scheduler {
    /// Returns the worker with the highest score for a task of the step, among those that have
    /// room.
    pub(super) fn choose_worker(&mut self, search: Search<'_>) -> Option<id::WorkerNumber> {
        let Search { now, task, spec, .. } = search;
        self.steps += self.workers.refresh(now);
        if spec.kind() == job::StepKind::Filler {
            self.compute_headroom();
        }
        if self.is_started_apart(task) {
            self.choose_apart(search)
        } else if spec.kind() == job::StepKind::Plain {
            self.choose_by_room(search)
        } else {
            let tight = self.choose_tight(search);
            tight.or_else(|| self.choose_by_score(search))
        }
    }

    /// Chooses a worker for a task under which a worker has crashed, which depends on the times of
    /// the last starts on all workers; such tasks are rare.
    fn choose_apart(&mut self, search: Search<'_>) -> Option<id::WorkerNumber> {
        let Search { now, pool, task, spec, image } = search;
        let needs_calm = self.waits_for_calm(now, task, spec);
        let calm = needs_calm.then(|| self.calm_workers(now));
        let scorer = Scorer::new(&self.interference, spec, image);
        let mut best = None;
        self.steps += self.workers.best_fits(pool, None, spec.reserved(), |number, worker| {
            let is_calm = calm.as_ref().is_none_or(|calm| calm.contains(&number));
            let fits = is_calm && worker.fits(now, task, spec);
            let score = fits.then(|| scorer.score(worker)).flatten();
            if let Some(score) = score {
                let score = score - worker.isolation_penalty(now, true);
                best = best.max(Some((score, std::cmp::Reverse(number))));
            }
            false
        });
        best.map(|(_, number)| number.0)
    }

    /// Chooses the worker with the least free processor time, and prefers the rack of the task's
    /// data.
    fn choose_by_room(&mut self, search: Search<'_>) -> Option<id::WorkerNumber> {
        let Search { now, pool, task, spec, image } = search;
        let scorer = Scorer::new(&self.interference, spec, image);
        let mut best = None;
        let mut examined = 0;
        let rack = spec.data_rack.as_deref().map(Some);
        for label in rack.into_iter().chain([spec.required_label.as_deref()]) {
            examined += self.workers.best_fits(pool, label, spec.reserved(), |number, worker| {
                if !worker.fits(now, task, spec) {
                    return false;
                }
                let penalty = worker.isolation_penalty(now, false);
                let penalty = penalty + worker.wanted_penalty(now, spec);
                let score = scorer.score(worker).map(|score| score - penalty);
                best = best.max(score.map(|score| (score, std::cmp::Reverse(number))));
                penalty == 0
            });
        }
        self.steps += examined;
        best.map(|(_, number)| number.0)
    }

    /// Chooses the worker with the highest score.
    fn choose_by_score(&mut self, search: Search<'_>) -> Option<id::WorkerNumber> {
        let Search { now, pool, task, spec, image } = search;
        let key = ScoreKey::new(spec, image);
        let scorer = Scorer::new(&self.interference, spec, image);
        let mut examined =
            self.workers.update_scores(pool, &key, |worker| scorer.score_with_room(worker));
        let (mut last, mut best, mut corrected) = (None, None, 0);
        while let Some((score, number)) = self.workers.next_scored(pool, &key, last) {
            // A worker after this one has at most this score, as far as it is known.
            if best.is_some_and(|(best, _)| best >= score) || corrected > MAX_CORRECTED {
                break;
            }
            examined += 1;
            let Some(worker) = self.workers.get(&number) else { break };
            let current = scorer.score_with_room(worker);
            if current == Some(score) {
                last = Some((score, number));
            } else {
                self.workers.set_score(pool, &key, number, current);
                corrected += u32::from(best.is_some());
            }
            let Some(worker) = self.workers.get(&number) else { break };
            if let Some(current) = current.filter(|_| worker.fits(now, task, spec)) {
                let current = current - worker.isolation_penalty(now, false);
                best = best.max(Some((current, std::cmp::Reverse(number))));
            }
        }
        self.steps += examined;
        best.map(|(_, number)| number.0)
    }

    /// Returns whether another worker has room for a filler, idle processors for all of it, and
    /// headroom, as far as the workers with the highest scores show.
    pub(super) fn has_worker_with_headroom(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        task: id::TaskId,
        spec: &job::StepSpec,
        image: ImageId,
    ) -> bool {
        let Some(queue) = self.jobs.get(&task.step.job).map(|job| &job.queue) else { return false };
        let Some(queue) = self.routes.queue(queue) else { return false };
        let pool = self.workers.pool(&queue.pool);
        self.steps += self.workers.refresh(now);
        self.compute_headroom();
        let key = ScoreKey::new(spec, image);
        let scorer = Scorer::new(&self.interference, spec, image);
        let mut examined =
            self.workers.update_scores(pool, &key, |worker| scorer.score_with_room(worker));
        let mut last = None;
        let mut is_found = false;
        for _ in 0..MAX_CORRECTED {
            last = self.workers.next_scored(pool, &key, last);
            let Some((_, other)) = last else { break };
            examined += 1;
            is_found |= other != number
                && self.workers.get(&other).is_some_and(|worker| {
                    worker.fits(now, task, spec)
                        && worker.spare_cpu() >= i64::from(spec.needs.cpu_milli)
                        && scorer.admits_filler(worker)
                });
            if is_found {
                break;
            }
        }
        self.steps += examined;
        is_found
    }
}

impl WorkerEntry {
    /// Returns whether the worker may run a task of the step and has room for it, if it is in the
    /// task's pool.
    pub(super) fn fits(
        &self,
        now: time::Monotonic,
        task: id::TaskId,
        spec: &job::StepSpec,
    ) -> bool {
        // A worker that is still stopping a run of the task cannot get another run of it.
        self.is_placeable(now)
            && !self.runs.contains_key(&task)
            && self.free().covers(&spec.reserved())
            && self.is_within_limits(task.step, spec)
    }

    /// Returns whether the step's tasks may run on the worker, regardless of pool and free resources.
    pub(super) fn is_within_limits(&self, step: id::StepId, spec: &job::StepSpec) -> bool {
        let labels = &self.announcement.labels;
        if spec.required_label.as_ref().is_some_and(|label| !labels.contains(label)) {
            return false;
        }
        spec.max_per_worker.is_none_or(|most| {
            let range = step.task(0)..=step.task(u16::MAX);
            self.runs.range(range).count() < usize::from(most)
        })
    }
}

/// Returns whether the step's tasks may run on the worker, regardless of free resources.
pub(super) fn is_allowed(
    entry: &WorkerEntry,
    pool: &str,
    step: id::StepId,
    spec: &job::StepSpec,
) -> bool {
    entry.announcement.pool == pool && entry.is_within_limits(step, spec)
}
