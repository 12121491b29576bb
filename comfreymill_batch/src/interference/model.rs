use std::collections::HashMap;

use comfreymill_types::id;

use super::ServiceModel;
use crate::catalog;
use crate::fleet;

/// Learned interference between batch classes and prompt services.
#[derive(Debug, Default)]
pub(crate) struct Model {
    by_name: HashMap<id::ServiceName, fleet::ServiceIndex>,
    services: Vec<ServiceModel>,
}

impl Model {
    /// Index of a service, which is added if it is new.
    pub(crate) fn intern(&mut self, name: &id::ServiceName) -> fleet::ServiceIndex {
        if let Some(index) = self.by_name.get(name) {
            return *index;
        }
        let index = fleet::ServiceIndex(self.services.len() as u32);
        self.services.push(ServiceModel::default());
        self.by_name.insert(name.clone(), index);
        index
    }

    /// Learns from a report; the slowdown relative to alone that it shows.
    pub(crate) fn observe(
        &mut self,
        service: fleet::ServiceIndex,
        p99_micros: f64,
        mix: Option<&fleet::Mix>,
    ) -> f64 {
        self.services[service.0 as usize].observe(p99_micros, mix)
    }

    /// Slowdown by `load` of a class, beyond alone.
    pub(crate) fn effect(
        &self,
        class: catalog::ClassIndex,
        service: fleet::ServiceIndex,
        load: f64,
    ) -> f64 {
        self.services[service.0 as usize].effect(class, load)
    }

    /// Usual slowdown of the service on a worker, beyond alone.
    pub(crate) fn get_usual(&self, service: fleet::ServiceIndex) -> f64 {
        self.services[service.0 as usize].get_usual()
    }

    /// Whether a class disturbs the service much less, for its load, than what usually runs.
    pub(crate) fn is_quiet(
        &self,
        class: catalog::ClassIndex,
        service: fleet::ServiceIndex,
    ) -> bool {
        self.services[service.0 as usize].is_quiet(class)
    }

    /// Slowdown by a mix of classes, beyond alone.
    pub(crate) fn predict(&self, service: fleet::ServiceIndex, mix: &fleet::Mix) -> f64 {
        mix.0.iter().map(|(class, load)| self.effect(*class, service, *load)).sum()
    }
}
