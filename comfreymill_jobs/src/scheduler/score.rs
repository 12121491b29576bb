use super::interference::{ImageId, Interference};
use super::worker::WorkerEntry;
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
/// Loss of slack that counts as none.
const NEGLIGIBLE_LOSS: f64 = 0.05;

/// Scores workers for the tasks of a step.
#[derive(Debug)]
pub(super) struct Scorer<'a> {
    interference: &'a Interference,
    spec: &'a job::StepSpec,
    image: ImageId,
}

impl<'a> Scorer<'a> {
    pub(super) fn new(
        interference: &'a Interference,
        spec: &'a job::StepSpec,
        image: ImageId,
    ) -> Self {
        Self { interference, spec, image }
    }

    /// Returns the score of a worker that has room and the required label.
    pub(super) fn score_with_room(&self, entry: &WorkerEntry) -> Option<i64> {
        let label = self.spec.required_label.as_ref();
        let has_label = label.is_none_or(|label| entry.announcement.labels.contains(label));
        if !has_label || !entry.free().covers(&self.spec.reserved()) {
            return None;
        }
        self.score(entry)
    }

    /// Returns the score of a worker for a task of the step, or `None` if the task must not run
    /// there; higher is better.
    pub(super) fn score(&self, entry: &WorkerEntry) -> Option<i64> {
        let mut score = match self.spec.kind() {
            job::StepKind::Plain => -i64::from(entry.free().cpu_milli),
            job::StepKind::Serving => self.score_serving(entry),
            job::StepKind::Filler => self.score_filler(entry)?,
        };
        let labels = &entry.announcement.labels;
        if self.spec.data_rack.as_ref().is_some_and(|rack| labels.contains(rack)) {
            score += DATA_RACK_BONUS;
        }
        Some(score)
    }

    /// Returns the score of a worker for a serving task. Tasks of one image are packed together: a
    /// filler that slows down one of them slows down all, so this leaves more workers without
    /// images that a given filler affects.
    fn score_serving(&self, entry: &WorkerEntry) -> i64 {
        let mut score = -i64::from(entry.free().cpu_milli);
        for (other, count) in &entry.serving {
            let count = i64::from(*count);
            score +=
                if *other == self.image { SAME_IMAGE_BONUS } else { -OTHER_IMAGE_PENALTY } * count;
        }
        if entry.fillers == 0 {
            return score;
        }
        for run in entry.runs.values().filter(|run| run.kind == job::StepKind::Filler) {
            let effect = self.interference.effect(self.image, run.image);
            score -= (effect * FILLER_EFFECT_PENALTY) as i64;
        }
        score
    }

    /// Returns the score of a worker for a filler. Fillers go where processors are idle and the
    /// loss of slack is small; a worker without idle processors or headroom is excluded.
    fn score_filler(&self, entry: &WorkerEntry) -> Option<i64> {
        let spare = entry.spare_cpu();
        if spare < i64::from(self.spec.needs.cpu_milli) * MIN_IDLE_PERCENT / 100
            || !self.admits_filler(entry)
        {
            return None;
        }
        let share = entry.share(self.spec.needs.cpu_milli);
        let serving = entry.serving.keys();
        let effects = serving.map(|other| self.interference.effect(*other, self.image));
        let loss = effects.fold(0.0, f64::max) * share;
        Some(spare - (loss * LOSS_PENALTY) as i64)
    }

    /// Returns whether the tail latencies on a worker leave enough headroom for a filler to run
    /// there at full speed.
    pub(super) fn admits_filler(&self, entry: &WorkerEntry) -> bool {
        if entry.has_tail_over_target {
            return false;
        }
        let Some(headroom) = &entry.headroom else { return false };
        let share = entry.share(self.spec.needs.cpu_milli);
        headroom.iter().all(|(image, headroom)| {
            let loss = self.interference.effect(*image, self.image) * share;
            loss <= NEGLIGIBLE_LOSS || loss <= *headroom
        })
    }
}
