use std::collections::HashMap;

use comfreymill_types::id;

use super::{Baseline, Weight};
use crate::catalog;
use crate::fleet;

const RATE: f64 = 0.1;
const REGULARISER: f64 = 0.02;
const MAX_WEIGHT: f64 = 20.0;
const MAX_SLOWDOWN: f64 = 20.0;

/// Learned interference between batch classes and prompt services.
#[derive(Debug, Default)]
pub(crate) struct Model {
    service_by_name: HashMap<id::ServiceName, fleet::ServiceIndex>,
    baselines: Vec<Baseline>,
    weights: HashMap<(catalog::ClassIndex, fleet::ServiceIndex), Weight>,
}

impl Model {
    /// Index of a service, which is added if it is new.
    pub(crate) fn intern(&mut self, name: &id::ServiceName) -> fleet::ServiceIndex {
        if let Some(index) = self.service_by_name.get(name) {
            return *index;
        }
        let index = fleet::ServiceIndex(self.baselines.len() as u32);
        self.baselines.push(Baseline::default());
        self.service_by_name.insert(name.clone(), index);
        index
    }

    /// Learns from a report; the slowdown relative to alone that it shows.
    pub(crate) fn observe(
        &mut self,
        service: fleet::ServiceIndex,
        p99_micros: f64,
        mix: Option<&fleet::Mix>,
    ) -> f64 {
        let expected = mix.map_or(0.0, |mix| self.predict(service, mix));
        let baseline = &mut self.baselines[service.0 as usize];
        baseline.observe(p99_micros / (1.0 + expected));
        let alone = baseline.get().unwrap_or(p99_micros);
        let slowdown = (p99_micros / alone).min(MAX_SLOWDOWN);
        if let Some(mix) = mix {
            self.learn(service, mix, slowdown - 1.0 - expected);
        }
        slowdown
    }

    /// Slowdown by `load` of a class, beyond alone.
    pub(crate) fn effect(
        &self,
        class: catalog::ClassIndex,
        service: fleet::ServiceIndex,
        load: f64,
    ) -> f64 {
        self.weight(class, service).value * load
    }

    /// Slowdown by a mix of classes, beyond alone.
    pub(crate) fn predict(&self, service: fleet::ServiceIndex, mix: &fleet::Mix) -> f64 {
        mix.0.iter().map(|(class, load)| self.effect(*class, service, *load)).sum()
    }

    fn weight(&self, class: catalog::ClassIndex, service: fleet::ServiceIndex) -> Weight {
        self.weights.get(&(class, service)).copied().unwrap_or_default()
    }

    fn learn(&mut self, service: fleet::ServiceIndex, mix: &fleet::Mix, error: f64) {
        let power: f64 = mix.0.iter().map(|entry| entry.1 * entry.1).sum();
        let step = RATE * error / (REGULARISER + power);
        for (class, load) in mix.0.iter().filter(|entry| entry.1 > 0.0) {
            let weight = self.weights.entry((*class, service)).or_default();
            weight.value = (weight.value + step * load).clamp(0.0, MAX_WEIGHT);
            weight.reports = weight.reports.saturating_add(1);
        }
    }
}
