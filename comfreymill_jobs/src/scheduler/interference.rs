use std::collections::BTreeMap;

use comfreymill_batch::interference;
use comfreymill_types::time;

/// Model of how fillers raise the tail latencies of serving tasks, learned from worker reports.
///
/// The logarithm of a tail latency is modelled as the level of the serving image plus, for each
/// image of fillers on the same worker, its effect times the share of the worker's processors that
/// these fillers use. Levels follow the request load within seconds, while effects are constant;
/// the differences between workers make it possible to tell the two apart.
#[derive(Debug, Default)]
pub(super) struct Interference {
    images: BTreeMap<String, ImageId>,
    services: BTreeMap<ImageId, ServiceModel>,
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
    /// Current average of the logarithm of the image's tail latencies without fillers.
    level: f64,
    level_updated_at: time::Monotonic,
}

impl Default for ServiceModel {
    fn default() -> Self {
        Self {
            fit: interference::Regression::default().forgetting(FORGETTING_FACTOR),
            positions: BTreeMap::new(),
            level: 0.0,
            level_updated_at: time::Monotonic::ZERO,
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
/// Time constant, in seconds, of the average of an image's level. Request load changes all tail
/// latencies of an image within seconds, which must not be attributed to fillers that started in
/// the meantime.
const LEVEL_TIME_CONSTANT_SECONDS: f64 = 1.0;
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

    /// Learns from a tail latency, given as a multiple of its target, observed beside a mix of
    /// fillers.
    pub(super) fn observe(
        &mut self,
        now: time::Monotonic,
        image: ImageId,
        tail: f64,
        shares: &FillerShares,
    ) {
        let rise = self.log_rise(image, shares);
        let model = self.services.entry(image).or_default();
        let mut inputs = Vec::with_capacity(shares.len());
        for (filler, share) in shares {
            let fit = &mut model.fit;
            let position = model.positions.entry(*filler).or_insert_with(|| fit.add_input());
            inputs.push((*position, *share));
        }
        let since = now.since(model.level_updated_at).as_secs_f64();
        model.level_updated_at = now;
        let weight = 1.0 - (-since / LEVEL_TIME_CONSTANT_SECONDS).exp();
        model.level += weight * (tail.ln() - rise - model.level);
        model.fit.observe(&inputs, tail.ln() - model.level + INTERCEPT);
    }

    /// Returns the rise of the logarithm of the image's tail latency beside a filler that uses all
    /// processors of a worker.
    pub(super) fn effect(&self, image: ImageId, filler: ImageId) -> f64 {
        let Some(model) = self.services.get(&image) else { return UNKNOWN_EFFECT };
        let Some(position) = model.positions.get(&filler) else { return UNKNOWN_EFFECT };
        let effect = model.fit.get_effect(*position);
        if effect < MIN_EFFECT { 0.0 } else { effect }
    }

    /// Returns the rise of the logarithm of the image's tail latency beside a mix of fillers.
    pub(super) fn log_rise(&self, image: ImageId, shares: &FillerShares) -> f64 {
        shares.iter().map(|(filler, share)| self.effect(image, *filler) * share).sum()
    }
}
