use comfreymill_types::id;
use comfreymill_types::time;

use super::estimate::Estimate;
use super::health::Health;
use super::{Config, ExecutorView};

/// Weight of a new sample in the latency ratio.
const LATENCY_RATIO_WEIGHT: f64 = 0.2;
/// Latency ratio assumed for an executor in another zone of the entry's region.
const OTHER_ZONE_RATIO: f64 = 1.1;
/// Latency ratio assumed for an executor in another region.
const OTHER_REGION_RATIO: f64 = 4.0;
/// Factor by which a cost is scaled before it is truncated to an integer.
const COST_SCALE: f64 = 1_000.0;
/// Cost of an executor on trial: the lowest, so that it is tried with the next request.
const TRIAL_COST: u64 = 0;

/// State of one incarnation of an executor, with this entry's requests running there.
#[derive(Debug)]
pub(super) struct Executor {
    pub(super) view: ExecutorView,
    /// Index of the pool of the executor's service.
    pub(super) pool: usize,
    /// Number of the group whose table lists the executor.
    pub(super) source: u32,
    /// Whether the lease on the group's grants is valid.
    pub(super) leased: bool,
    /// Whether the executor is in another region than the entry.
    pub(super) remote: bool,
    /// Whether the executor was removed from its group's table.
    pub(super) removed: bool,
    pub(super) health: Health,
    /// Running requests with the time of sending, in the order of sending.
    pub(super) running: Vec<(u64, time::Monotonic)>,
    /// Number of slots held by attempts that may still be running although the entry gave up on
    /// them.
    pub(super) unresolved: u32,
    /// Latency relative to the class's latency over all executors.
    pub(super) latency_ratio: Estimate,
    pub(super) last_sample: time::Monotonic,
    /// Number of consecutive failures.
    pub(super) failures: u32,
    /// Number of consecutive successes.
    pub(super) successes: u32,
    /// Time at which the connections were last dropped as suspect.
    pub(super) connections_dropped_at: Option<time::Monotonic>,
    /// Number of ejections since the executor last succeeded often enough in a row.
    pub(super) ejections: u32,
    /// Whether all slots may be used during the slow start because requests are queued.
    pub(super) bypasses_slow_start: bool,
    /// Time at which the slow start ends.
    pub(super) slow_start_end: time::Monotonic,
    /// Epoch and number of slots last reported to the leader.
    pub(super) reported: Option<(u64, u32)>,
    /// Cost and tie-break in the pool's cost index, while listed there.
    pub(super) cost_key: Option<(u64, u32)>,
    /// Position in the pool's list of executors with a free slot, while listed there.
    pub(super) position: Option<usize>,
}

impl Executor {
    pub(super) fn new(cfg: &Config, view: ExecutorView, pool: usize, source: u32) -> Self {
        let remote = view.region != *cfg.get_region();
        let latency_ratio = if remote {
            OTHER_REGION_RATIO
        } else if view.zone == *cfg.get_zone() {
            1.0
        } else {
            OTHER_ZONE_RATIO
        };
        Self {
            view,
            pool,
            source,
            leased: true,
            remote,
            removed: false,
            health: Health::Serving,
            running: Vec::new(),
            unresolved: 0,
            latency_ratio: Estimate::new(latency_ratio, LATENCY_RATIO_WEIGHT),
            last_sample: time::Monotonic::ZERO,
            failures: 0,
            successes: 0,
            connections_dropped_at: None,
            ejections: 0,
            bypasses_slow_start: false,
            slow_start_end: time::Monotonic::ZERO,
            reported: None,
            cost_key: None,
            position: None,
        }
    }

    /// Returns the number of slots that count as in use.
    pub(super) fn in_use(&self) -> u32 {
        self.running.len() as u32 + self.unresolved
    }

    /// Returns the maximum number of slots that the entry uses or will use under the present grant.
    pub(super) fn held_slots(&self) -> u32 {
        let usable = if self.removed || self.view.leaving { 0 } else { self.view.slots };
        usable.max(self.in_use())
    }

    /// Returns whether the executor may be sent requests.
    pub(super) fn is_serving(&self) -> bool {
        let receives = matches!(self.health, Health::Serving | Health::Trial);
        receives && !self.removed && !self.view.leaving
    }

    /// Returns the number of slots that may be in use at `now`.
    pub(super) fn slot_limit(&self, cfg: &Config, now: time::Monotonic) -> u32 {
        if !self.is_serving() || !self.leased {
            return 0;
        }
        if self.health == Health::Trial {
            return self.view.slots.min(1);
        }
        let share = self.slow_start_share(cfg, now);
        if share >= 1.0 || self.bypasses_slow_start {
            return self.view.slots;
        }
        let slots = (f64::from(self.view.slots) * share).ceil() as u32;
        slots.clamp(1, self.view.slots.max(1)).min(self.view.slots)
    }

    /// Returns the cost of sending one more request to the executor; lower is better.
    pub(super) fn cost(&self, cfg: &Config, now: time::Monotonic) -> u64 {
        if self.health == Health::Trial {
            return TRIAL_COST;
        }
        let load = f64::from(self.in_use() + 1);
        let failing = f64::from(1 + 10 * self.failures);
        let slow_start_share = self.slow_start_share(cfg, now).max(0.1);
        (COST_SCALE * self.latency_ratio.get_mean() * load * failing / slow_start_share) as u64
    }

    /// Returns the share of the slots that the slow start allows, from 0 to 1.
    fn slow_start_share(&self, cfg: &Config, now: time::Monotonic) -> f64 {
        if now >= self.slow_start_end {
            return 1.0;
        }
        let left = self.slow_start_end.since(now).as_secs_f64();
        1.0 - left / cfg.get_slow_start().as_secs_f64()
    }

    pub(super) fn name(&self) -> &id::ExecutorName {
        &self.view.name
    }
}
