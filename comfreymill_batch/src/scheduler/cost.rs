use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::size;

use super::Scheduler;
use crate::catalog;
use crate::fleet;

const SLOWDOWN_COST: f64 = 1.0;
const FIT_COST: f64 = 0.3;
const IMBALANCE_WEIGHT: f64 = 0.25;
const SPREAD_COST: f64 = 0.1;
const STRANDED_ACCELERATOR_COST: f64 = 0.5;
const DISTURBANCE_LIMIT_FRACTION: f64 = 0.8;
const MEAN_SLOWDOWN_FACTOR: f64 = 1.2;
/// Share of tail latency in the weights at which exactly the configured upper bound is accepted.
const REFERENCE_TAIL_SHARE: f64 = 0.5;
const MIN_TAIL_SHARE: f64 = 0.08;

/// Cost of placing a task on a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    /// Predicted added slowdown of the worst prompt service; 0.1 means 10% slower than alone.
    pub(super) slowdown: f64,
    /// Slowdown as a fraction of the accepted one.
    pub(super) disturbance: f64,
    /// Penalty for room that is left unusable; see `get_misfit`.
    pub(super) fit: f64,
    /// Penalty for the tasks of the same job on the worker and in its rack.
    pub(super) spread: f64,
}

impl Cost {
    pub(super) fn get_total(&self) -> f64 {
        SLOWDOWN_COST * self.disturbance * self.disturbance
            + FIT_COST * self.fit
            + SPREAD_COST * self.spread
    }
}

/// # Costs
impl Scheduler {
    /// Returns the cost of placing the task on a worker that fits, or `None` if a prompt service
    /// would be slowed too much.
    pub(super) fn get_cost(
        &self,
        id: id::TaskId,
        spec: &catalog::ClassSpec,
        need: &size::Resources,
        index: fleet::WorkerIndex,
    ) -> Option<Cost> {
        let worker = self.fleet.get(index);
        let class = self.tasks[&id].class;
        let load = worker.get_core_fraction(need);
        let slowdown = self.predict_slowdown(worker, class, load);
        let accepted = self.get_accepted_slowdown();
        let urgent = spec.priority == Self::URGENT;
        let low_interference =
            worker.services.iter().all(|load| self.model.has_low_interference(class, load.service));
        let disturbs = slowdown > 0.0 && !urgent && !low_interference;
        if disturbs
            && (slowdown > self.get_disturbance_limit(worker, accepted)
                || worker.pressure.is_high())
        {
            return None;
        }
        Some(Cost {
            slowdown,
            disturbance: slowdown / accepted,
            fit: get_misfit(worker, need),
            spread: self.get_crowding(id, worker),
        })
    }

    /// Returns the added slowdown above which no disturbing task is placed on the worker. It is a
    /// fraction of the accepted slowdown, and not far above the mean one, so that room is left for
    /// tasks that disturb less.
    fn get_disturbance_limit(&self, worker: &fleet::Worker, accepted: f64) -> f64 {
        let services =
            worker.services.iter().map(|load| self.model.get_mean_slowdown(load.service));
        let mean_slowdown = services.fold(0.0, f64::max);
        let least = DISTURBANCE_LIMIT_FRACTION * (self.cfg.get_hysteresis().upper - 1.0);
        (DISTURBANCE_LIMIT_FRACTION * accepted)
            .min((MEAN_SLOWDOWN_FACTOR * mean_slowdown).max(least))
    }

    /// Predicts the added slowdown of the worst service on the worker with `load` of `class` added.
    fn predict_slowdown(
        &self,
        worker: &fleet::Worker,
        class: catalog::ClassIndex,
        load: f64,
    ) -> f64 {
        let services = worker.services.iter().map(|entry| {
            let running = worker.mixes.latest();
            let running = running.map_or(0.0, |mix| self.model.predict(entry.service, mix));
            running + self.model.effect(class, entry.service, load)
        });
        services.fold(0.0, f64::max)
    }

    /// Returns the added slowdown that the customer's weights accept.
    pub(super) fn get_accepted_slowdown(&self) -> f64 {
        let weights = self.catalog.weights(document::Stage::Production);
        let all = weights.tail_latency + weights.throughput + weights.evictions;
        let tail_share = if all > 0.0 { weights.tail_latency / all } else { 1.0 };
        (self.cfg.get_hysteresis().upper - 1.0) * REFERENCE_TAIL_SHARE
            / tail_share.max(MIN_TAIL_SHARE)
    }

    fn get_crowding(&self, id: id::TaskId, worker: &fleet::Worker) -> f64 {
        let on_worker = worker.tasks.iter().filter(|other| other.job == id.job).count() as f64;
        let in_rack = worker
            .rack
            .as_ref()
            .map_or(0, |rack| self.spread.get(&(id.job, rack.clone())).copied().unwrap_or(0));
        on_worker / (1.0 + on_worker) + f64::from(in_rack) / (8.0 + f64::from(in_rack))
    }
}

/// Returns a penalty for leftover room that is too small to use, for an imbalance of leftover cores
/// and memory, and for accelerators left beside a task that needs none.
fn get_misfit(worker: &fleet::Worker, need: &size::Resources) -> f64 {
    let left = worker.get_room().saturating_sub(need);
    let fraction = |left: u64, all: u64| left as f64 / all.max(1) as f64;
    let cores = fraction(left.cores.as_millis(), worker.capacity.cores.as_millis());
    let memory = fraction(left.memory.get(), worker.capacity.memory.get());
    let leftover =
        fraction(left.cores.as_millis(), left.cores.as_millis() + need.cores.as_millis());
    let strands = need.accelerators == 0 && left.accelerators > 0;
    let stranded = if strands { STRANDED_ACCELERATOR_COST / FIT_COST } else { 0.0 };
    leftover + IMBALANCE_WEIGHT * (cores - memory).abs() + stranded
}
