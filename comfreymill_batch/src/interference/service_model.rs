use std::collections::HashMap;

use super::{Median, Regression};
use crate::catalog;
use crate::fleet;

const MIN_ALONE: f64 = 0.3;
const MAX_ALONE: f64 = 1.05;
const MAX_SLOWDOWN: f64 = 20.0;
/// Weight of the latest report in the running means.
const MEAN_SMOOTHING: f64 = 0.004;
/// Fraction of the mean slowdown below which a class has low interference.
const LOW_INTERFERENCE_FRACTION: f64 = 0.5;
/// Effect of a class that has not been observed yet.
const UNKNOWN_EFFECT: f64 = 0.1;

/// Interference model of one prompt service.
#[derive(Debug, Default)]
pub(crate) struct ServiceModel {
    median: Median,
    fit: Regression,
    positions: HashMap<catalog::ClassIndex, usize>,
    /// Running mean of the predicted added slowdown on the workers that sent reports.
    mean_slowdown: f64,
    /// Running mean of the batch load on the workers that sent reports.
    mean_load: f64,
}

impl ServiceModel {
    /// Learns from a report and returns its slowdown, relative to the service running alone.
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
            self.mean_slowdown += MEAN_SMOOTHING * (expected - self.mean_slowdown);
            self.mean_load += MEAN_SMOOTHING * (load - self.mean_load);
        }
        (relative / self.alone()).min(MAX_SLOWDOWN)
    }

    /// Returns the added slowdown caused by `load` of a class; 0.1 means 10% slower than alone.
    pub(crate) fn effect(&self, class: catalog::ClassIndex, load: f64) -> f64 {
        let effect = self.positions.get(&class).map_or(UNKNOWN_EFFECT, |position| {
            self.fit.get_effect(*position).max(0.0) / self.alone()
        });
        effect * load
    }

    /// Returns the mean added slowdown over the workers that sent reports.
    pub(crate) fn get_mean_slowdown(&self) -> f64 {
        self.mean_slowdown
    }

    /// Returns whether a class disturbs much less than the usual mix does at the same load.
    pub(crate) fn has_low_interference(&self, class: catalog::ClassIndex) -> bool {
        self.effect(class, self.mean_load) < LOW_INTERFERENCE_FRACTION * self.mean_slowdown
    }

    /// Returns the latency of the service running alone, as a fraction of the median.
    fn alone(&self) -> f64 {
        self.fit.get_intercept().clamp(MIN_ALONE, MAX_ALONE)
    }

    fn position(&mut self, class: catalog::ClassIndex) -> usize {
        let fit = &mut self.fit;
        *self.positions.entry(class).or_insert_with(|| fit.add_input())
    }
}
