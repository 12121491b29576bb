use std::collections::HashMap;

use super::{Median, Regression};
use crate::catalog;
use crate::fleet;

const MIN_ALONE: f64 = 0.3;
const MAX_ALONE: f64 = 1.05;
const MAX_SLOWDOWN: f64 = 20.0;
const UNKNOWN_EFFECT: f64 = 0.1;

/// What was learned of one prompt service.
#[derive(Debug, Default)]
pub(crate) struct ServiceModel {
    median: Median,
    fit: Regression,
    positions: HashMap<catalog::ClassIndex, usize>,
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

    /// Latency alone as a part of the median.
    fn alone(&self) -> f64 {
        self.fit.get_intercept().clamp(MIN_ALONE, MAX_ALONE)
    }

    fn position(&mut self, class: catalog::ClassIndex) -> usize {
        let fit = &mut self.fit;
        *self.positions.entry(class).or_insert_with(|| fit.add_input())
    }
}
