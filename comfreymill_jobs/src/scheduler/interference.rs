use std::collections::BTreeMap;

use comfreymill_batch::interference;
use comfreymill_types::time;

use super::load_average::LoadAverage;
use crate::id;

/// Model of how fillers raise the tail latencies of serving tasks, learned from worker reports.
///
/// The logarithm of a tail latency is modelled as the level of the serving job plus, for each image
/// of fillers on the same worker, its effect times the share of the worker's processors that these
/// fillers use. Each job has users of its own, so levels follow the request load of each job within
/// seconds. Effects are constant and depend on the images only. They are fitted to the differences
/// between a report and the recent average of its job, in which the level cancels out.
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
            fit: interference::Regression::default().forgetting(FORGETTING_FACTOR),
            positions: BTreeMap::new(),
        }
    }
}

/// Assumed effect of a filler that never ran beside the image; high enough that workers with a
/// known lower effect are preferred.
const UNKNOWN_EFFECT: f64 = 0.3;
/// Effects below this cannot be distinguished from noise and count as 0.
const MIN_EFFECT: f64 = 1.0;
/// Factor by which each observation reduces the weight of earlier ones: an image with 250 tasks,
/// each reported twice a second, is learned from the last 40 s.
const FORGETTING_FACTOR: f64 = 0.999_95;
/// Weight of recent reports that an average needs before differences from it are learned from.
const MIN_AVERAGE_WEIGHT: f64 = 0.5;
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

    /// Learns from a tail latency of a task of `job`, given as a multiple of its target, observed
    /// beside a mix of fillers.
    pub(super) fn observe(
        &mut self,
        now: time::Monotonic,
        job: id::JobKey,
        image: ImageId,
        tail: f64,
        shares: &FillerShares,
    ) {
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
            let output = tail.ln() - average.log_tail() + INTERCEPT;
            model.fit.observe(&differences(&inputs, average), output);
        }
        average.add(tail.ln(), &inputs);
    }

    /// Returns the logarithm of the current tail latency of a job's tasks without fillers, as a
    /// multiple of the target, if the job's tasks have reported.
    pub(super) fn level(&self, job: id::JobKey, image: ImageId) -> Option<f64> {
        let average = self.loads.get(&job)?;
        let model = self.services.get(&image)?;
        let rise = average.shares().map(|(position, share)| model.effect_at(position) * share);
        Some(average.log_tail() - rise.sum::<f64>())
    }

    /// Drops the averages of a job that is over.
    pub(super) fn job_over(&mut self, job: id::JobKey) {
        self.loads.remove(&job);
    }

    /// Returns the rise of the logarithm of the image's tail latency beside a filler that uses all
    /// processors of a worker.
    pub(super) fn effect(&self, image: ImageId, filler: ImageId) -> f64 {
        let Some(model) = self.services.get(&image) else { return UNKNOWN_EFFECT };
        let Some(position) = model.positions.get(&filler) else { return UNKNOWN_EFFECT };
        model.effect_at(*position)
    }

    /// Returns the rise of the logarithm of the image's tail latency beside a mix of fillers.
    pub(super) fn log_rise(&self, image: ImageId, shares: &FillerShares) -> f64 {
        shares.iter().map(|(filler, share)| self.effect(image, *filler) * share).sum()
    }
}

impl ServiceModel {
    /// Returns the effect of the filler image at `position`; 0 if it is too low to be told from
    /// noise.
    fn effect_at(&self, position: usize) -> f64 {
        let effect = self.fit.get_effect(position);
        if effect < MIN_EFFECT { 0.0 } else { effect }
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
