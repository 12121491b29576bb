use std::collections::BTreeMap;

use comfreymill_batch::interference;

/// What fillers do to the tails of tasks that serve, learned from their lists.
///
/// The logarithm of a tail is taken as that of the tail alone plus a sum over the images of the
/// fillers beside it: effect times the share of the worker's processors that they use. Which
/// images disturb each other differs, and it is the difference between workers that tells them
/// apart.
#[derive(Debug, Default)]
pub(super) struct Interference {
    services: BTreeMap<String, ServiceModel>,
}

/// Fillers' use of a worker, as shares of its processors, by image.
pub(super) type Mix = BTreeMap<String, f64>;

#[derive(Debug, Default)]
struct ServiceModel {
    fit: interference::Regression,
    positions: BTreeMap<String, usize>,
}

/// Effect of a filler that was never seen beside the image: enough to prefer a proven place.
const UNKNOWN_EFFECT: f64 = 0.3;
/// Effects below this are not told from noise.
const MIN_EFFECT: f64 = 1.0;
/// The regression expects an intercept near this; outputs are moved by it.
const INTERCEPT: f64 = 1.0;

impl Interference {
    /// Learns from a tail, given as a multiple of its target, beside a mix of fillers.
    pub(super) fn observe(&mut self, image: &str, tail: f64, mix: &Mix) {
        if !self.services.contains_key(image) {
            self.services.insert(image.to_owned(), ServiceModel::default());
        }
        let Some(model) = self.services.get_mut(image) else { return };
        let mut inputs = Vec::with_capacity(mix.len());
        for (filler, share) in mix {
            let fit = &mut model.fit;
            let position = model.positions.entry(filler.clone()).or_insert_with(|| fit.add_input());
            inputs.push((*position, *share));
        }
        model.fit.observe(&inputs, tail.ln() + INTERCEPT);
    }

    /// By how much the logarithm of the image's tail rises for a filler that uses all processors.
    pub(super) fn effect(&self, image: &str, filler: &str) -> f64 {
        let Some(model) = self.services.get(image) else { return UNKNOWN_EFFECT };
        let Some(position) = model.positions.get(filler) else { return UNKNOWN_EFFECT };
        let effect = model.fit.get_effect(*position);
        if effect < MIN_EFFECT { 0.0 } else { effect }
    }

    /// By how much the logarithm of the image's tail rises for a mix.
    pub(super) fn pressure(&self, image: &str, mix: &Mix) -> f64 {
        mix.iter().map(|(filler, share)| self.effect(image, filler) * share).sum()
    }
}
