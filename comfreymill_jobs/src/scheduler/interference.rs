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
    images: BTreeMap<String, Image>,
    services: BTreeMap<Image, ServiceModel>,
}

/// Fillers' use of a worker, as shares of its processors, by image.
pub(super) type Mix = BTreeMap<Image, f64>;

/// Number of an image, in the order in which they were seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Image(u32);

#[derive(Debug, Default)]
struct ServiceModel {
    fit: interference::Regression,
    positions: BTreeMap<Image, usize>,
}

/// Effect of a filler that was never seen beside the image: enough to prefer a proven place.
const UNKNOWN_EFFECT: f64 = 0.3;
/// Effects below this are not told from noise.
const MIN_EFFECT: f64 = 1.0;
/// The regression expects an intercept near this; outputs are moved by it.
const INTERCEPT: f64 = 1.0;

impl Interference {
    /// Number of an image; tasks without one count as an image of their own.
    pub(super) fn intern(&mut self, image: Option<&str>) -> Image {
        let image = image.unwrap_or_default();
        if let Some(known) = self.images.get(image) {
            return *known;
        }
        let next = Image(u32::try_from(self.images.len()).unwrap_or(u32::MAX));
        self.images.insert(image.to_owned(), next);
        next
    }

    /// Learns from a tail, given as a multiple of its target, beside a mix of fillers.
    pub(super) fn observe(&mut self, image: Image, tail: f64, mix: &Mix) {
        let model = self.services.entry(image).or_default();
        let mut inputs = Vec::with_capacity(mix.len());
        for (filler, share) in mix {
            let fit = &mut model.fit;
            let position = model.positions.entry(*filler).or_insert_with(|| fit.add_input());
            inputs.push((*position, *share));
        }
        model.fit.observe(&inputs, tail.ln() + INTERCEPT);
    }

    /// By how much the logarithm of the image's tail rises for a filler that uses all processors.
    pub(super) fn effect(&self, image: Image, filler: Image) -> f64 {
        let Some(model) = self.services.get(&image) else { return UNKNOWN_EFFECT };
        let Some(position) = model.positions.get(&filler) else { return UNKNOWN_EFFECT };
        let effect = model.fit.get_effect(*position);
        if effect < MIN_EFFECT { 0.0 } else { effect }
    }

    /// By how much the logarithm of the image's tail rises for a mix.
    pub(super) fn pressure(&self, image: Image, mix: &Mix) -> f64 {
        mix.iter().map(|(filler, share)| self.effect(image, *filler) * share).sum()
    }
}
