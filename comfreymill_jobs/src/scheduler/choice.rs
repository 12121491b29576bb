use comfreymill_types::time;

use super::Scheduler;
use super::interference::ImageId;
use super::worker::WorkerEntry;
use crate::id;
use crate::job;

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

/// # Choice of a worker for a task
impl Scheduler {
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
