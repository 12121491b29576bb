use std::collections::BTreeMap;

use comfreymill_batch::interference;
use comfreymill_types::time;

use super::load_average::LoadAverage;
use crate::id;

/// Model of how fillers slow down serving tasks, learned from worker reports.
///
/// The slack of a serving task is the target of its tail latency divided by the tail latency: 1 at
/// the target, higher below it. As in a queue near saturation, the reciprocal of the latency falls
/// linearly with everything that uses the worker, so the slack is modelled as the level of the
/// serving job less, for each image of fillers on the worker, its effect times the share of the
/// worker's processors that these fillers use. Each job has users of its own, so levels follow the
/// request load of each job within seconds. Effects are constant and depend on the images only.
/// They are fitted to the differences between a report and the recent average of its job, in which
/// the level cancels out.
#[derive(Debug, Default)]
pub(super) struct Interference {
    images: BTreeMap<String, ImageId>,
    services: BTreeMap<ImageId, ServiceModel>,
    loads: BTreeMap<id::JobKey, LoadAverage>,
}

/// Shares of a worker's processors that fillers use, by image.
pub(super) type FillerShares = BTreeMap<ImageId, f64>;

/// Interned name of an image.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ImageId(u32);

#[derive(Debug)]
struct ServiceModel {
    fit: interference::Regression,
    positions: BTreeMap<ImageId, usize>,
}

impl Default for ServiceModel {
    fn default() -> Self {
        Self {
            fit: interference::Regression::default()
                .forgetting(FORGETTING_FACTOR)
                .prior(PRIOR_EFFECT, PRIOR_STRENGTH),
            positions: BTreeMap::new(),
        }
    }
}

/// Effect assumed for a filler that never ran beside an image. About half of the pairs have effects
/// between 4 and 20, the others below 1.
const PRIOR_EFFECT: f64 = 5.0;
/// Weight of the assumed effect, as a sum of squared differences of shares.
const PRIOR_STRENGTH: f64 = 0.01;
/// Factor by which each observation reduces the weight of earlier ones: an image with 250 tasks,
/// each reported twice a second, is learned from the last 40 s.
const FORGETTING_FACTOR: f64 = 0.999_95;
/// Weight of recent reports that an average needs before differences from it are learned from.
const MIN_AVERAGE_WEIGHT: f64 = 0.3;
/// The regression expects an intercept near this value, so it is added to all outputs.
const INTERCEPT: f64 = 1.0;

impl Interference {
    /// Returns the identifier of an image; all tasks without an image share one identifier.
    pub(super) fn intern(&mut self, image: Option<&str>) -> ImageId {
        let image = image.unwrap_or_default();
        if let Some(id) = self.images.get(image) {
            return *id;
        }
        let next = ImageId(u32::try_from(self.images.len()).unwrap_or(u32::MAX));
        self.images.insert(image.to_owned(), next);
        next
    }

    /// Learns from the slack of a task of `job`, observed beside a mix of fillers.
    pub(super) fn observe(
        &mut self,
        now: time::Monotonic,
        job: id::JobKey,
        image: ImageId,
        slack: f64,
        shares: &FillerShares,
    ) {
        let alone = slack + self.loss(image, shares);
        let model = self.services.entry(image).or_default();
        let mut inputs = Vec::with_capacity(shares.len());
        for (filler, share) in shares {
            let fit = &mut model.fit;
            let position = model.positions.entry(*filler).or_insert_with(|| fit.add_input());
            inputs.push((*position, *share));
        }
        let average = self.loads.entry(job).or_default();
        average.decay(now);
        if average.get_weight() >= MIN_AVERAGE_WEIGHT {
            let output = average.slack() - slack + INTERCEPT;
            model.fit.observe(&differences(&inputs, average), output);
        }
        average.add(slack, alone, &inputs);
    }

    /// Returns the lowest slack without fillers that is expected for a job's tasks until the next
    /// change of pace, if the job's tasks have reported.
    pub(super) fn level(&self, job: id::JobKey) -> Option<f64> {
        self.loads.get(&job).map(LoadAverage::lowest_level)
    }

    /// Drops the averages of a job that is over.
    pub(super) fn job_over(&mut self, job: id::JobKey) {
        self.loads.remove(&job);
    }

    /// Returns the loss of slack of the image's tasks beside a filler that uses all processors of a
    /// worker.
    pub(super) fn effect(&self, image: ImageId, filler: ImageId) -> f64 {
        let Some(model) = self.services.get(&image) else { return PRIOR_EFFECT };
        let Some(position) = model.positions.get(&filler) else { return PRIOR_EFFECT };
        model.effect_at(*position)
    }

    /// Returns the loss of slack of the image's tasks beside a mix of fillers.
    pub(super) fn loss(&self, image: ImageId, shares: &FillerShares) -> f64 {
        shares.iter().map(|(filler, share)| self.effect(image, *filler) * share).sum()
    }
}

impl ServiceModel {
    /// Returns the effect of the filler image at `position`; an estimate below 0 is noise.
    fn effect_at(&self, position: usize) -> f64 {
        self.fit.get_effect(position).max(0.0)
    }
}

/// Returns by how much the shares of fillers differ from the average of the job.
fn differences(inputs: &[(usize, f64)], average: &LoadAverage) -> Vec<(usize, f64)> {
    let mut differences: BTreeMap<usize, f64> = inputs.iter().copied().collect();
    for (position, share) in average.shares() {
        *differences.entry(position).or_default() -= share;
    }
    differences.into_iter().collect()
}
