use std::collections::HashMap;

use super::{Median, Regression};
use crate::catalog;
use crate::fleet;

const MIN_ALONE: f64 = 0.3;
const MAX_ALONE: f64 = 1.05;
const MAX_SLOWDOWN: f64 = 20.0;
const USUAL_STEP: f64 = 0.004;
const QUIET_PART: f64 = 0.5;
const UNKNOWN_EFFECT: f64 = 0.1;

/// What was learned of one prompt service.
#[derive(Debug, Default)]
pub(crate) struct ServiceModel {
    median: Median,
    fit: Regression,
    positions: HashMap<catalog::ClassIndex, usize>,
    /// Mean of the slowdown that was expected where reports came from.
    usual: f64,
    /// Mean load where reports came from.
    usual_load: f64,
}

impl ServiceModel {
    /// Learns from a report; the slowdown relative to alone that it shows.
    pub(crate) fn observe(&mut self, p99_micros: f64, mix: Option<&fleet::Mix>) -> f64 {
        let relative = p99_micros / self.median.observe(p99_micros);
        if let Some(mix) = mix {
            let inputs: Vec<(usize, f64)> = mix
                .0
                .iter()
                .filter(|entry| entry.1 > 0.0)
                .map(|(class, load)| (self.position(*class), *load))
                .collect();
            self.fit.observe(&inputs, relative.min(MAX_SLOWDOWN));
            let expected: f64 = mix.0.iter().map(|(class, load)| self.effect(*class, *load)).sum();
            let load: f64 = mix.0.iter().map(|entry| entry.1).sum();
            self.usual += USUAL_STEP * (expected - self.usual);
            self.usual_load += USUAL_STEP * (load - self.usual_load);
        }
        (relative / self.alone()).min(MAX_SLOWDOWN)
    }

    /// Slowdown by `load` of a class, beyond alone.
    pub(crate) fn effect(&self, class: catalog::ClassIndex, load: f64) -> f64 {
        let effect = self.positions.get(&class).map_or(UNKNOWN_EFFECT, |position| {
            self.fit.get_effect(*position).max(0.0) / self.alone()
        });
        effect * load
    }

    /// Usual slowdown of a worker, beyond alone.
    pub(crate) fn get_usual(&self) -> f64 {
        self.usual
    }

    /// Whether a class disturbs much less, for its load, than what usually runs.
    pub(crate) fn is_quiet(&self, class: catalog::ClassIndex) -> bool {
        self.effect(class, self.usual_load) < QUIET_PART * self.usual
    }

    /// Latency alone as a part of the median.
    fn alone(&self) -> f64 {
        self.fit.get_intercept().clamp(MIN_ALONE, MAX_ALONE)
    }

    fn position(&mut self, class: catalog::ClassIndex) -> usize {
        let fit = &mut self.fit;
        *self.positions.entry(class).or_insert_with(|| fit.add_input())
    }
}
