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
    /// Returns the index of a service and adds the service if it is unknown.
    pub(crate) fn intern(&mut self, name: &id::ServiceName) -> fleet::ServiceIndex {
        if let Some(index) = self.by_name.get(name) {
            return *index;
        }
        let index = fleet::ServiceIndex(self.services.len() as u32);
        self.services.push(ServiceModel::default());
        self.by_name.insert(name.clone(), index);
        index
    }

    /// Learns from a report and returns its slowdown, relative to the service running alone.
    pub(crate) fn observe(
        &mut self,
        service: fleet::ServiceIndex,
        p99_micros: f64,
        mix: Option<&fleet::Mix>,
    ) -> f64 {
        self.services[service.0 as usize].observe(p99_micros, mix)
    }

    /// Returns the added slowdown caused by `load` of a class; 0.1 means 10% slower than alone.
    pub(crate) fn effect(
        &self,
        class: catalog::ClassIndex,
        service: fleet::ServiceIndex,
        load: f64,
    ) -> f64 {
        self.services[service.0 as usize].effect(class, load)
    }

    /// Returns the mean added slowdown of the service over the workers that report it.
    pub(crate) fn get_mean_slowdown(&self, service: fleet::ServiceIndex) -> f64 {
        self.services[service.0 as usize].get_mean_slowdown()
    }

    /// Returns whether a class disturbs the service much less than the usual mix does at the same
    /// load.
    pub(crate) fn has_low_interference(
        &self,
        class: catalog::ClassIndex,
        service: fleet::ServiceIndex,
    ) -> bool {
        self.services[service.0 as usize].has_low_interference(class)
    }

    /// Returns the added slowdown caused by a mix of classes.
    pub(crate) fn predict(&self, service: fleet::ServiceIndex, mix: &fleet::Mix) -> f64 {
        mix.0.iter().map(|(class, load)| self.effect(*class, service, *load)).sum()
    }
}
