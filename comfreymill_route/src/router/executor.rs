use comfreymill_types::id;
use comfreymill_types::time;

use super::estimate::Estimate;
use super::health::Health;
use super::{Config, ExecutorView};

const RATIO_WEIGHT: f64 = 0.2;
const OTHER_ZONE_RATIO: f64 = 1.1;
const OTHER_REGION_RATIO: f64 = 4.0;
const COST_SCALE: f64 = 1_000.0;
const TRIAL_COST: u64 = 0;

/// Executor with the requests that this entry has there.
#[derive(Debug)]
pub(super) struct Executor {
    pub(super) view: ExecutorView,
    pub(super) service: usize,
    /// Group whose table has it.
    pub(super) source: u32,
    /// Whether the grants of its group are under a live lease.
    pub(super) leased: bool,
    /// Whether it is in another region.
    pub(super) remote: bool,
    /// Whether the table no longer has it.
    pub(super) gone: bool,
    pub(super) health: Health,
    /// Requests under way, in the order of sending.
    pub(super) running: Vec<(u64, time::Monotonic)>,
    /// Slots whose attempt ended without the executor's word.
    pub(super) in_doubt: u32,
    /// Latency relative to that of the class over all executors.
    pub(super) ratio: Estimate,
    pub(super) last_sample: time::Monotonic,
    /// Failures in a row.
    pub(super) failures: u32,
    /// Successes in a row.
    pub(super) successes: u32,
    /// When its connections were last dropped as suspect.
    pub(super) dropped_at: Option<time::Monotonic>,
    /// Ejections without a success between.
    pub(super) ejections: u32,
    /// Whether requests wait, so that its slow start gives way.
    pub(super) is_needed: bool,
    /// End of the slow start.
    pub(super) warm_at: time::Monotonic,
    /// Slots last reported to the leader, with their epoch.
    pub(super) reported: Option<(u64, u32)>,
    /// Key in the pool's index, while it is there.
    pub(super) key: Option<(u64, u32)>,
    /// Position in the pool's list, while it is there.
    pub(super) position: Option<usize>,
}

impl Executor {
    pub(super) fn new(cfg: &Config, view: ExecutorView, service: usize, source: u32) -> Self {
        let remote = view.region != *cfg.get_region();
        let ratio = if remote {
            OTHER_REGION_RATIO
        } else if view.zone == *cfg.get_zone() {
            1.0
        } else {
            OTHER_ZONE_RATIO
        };
        Self {
            view,
            service,
            source,
            leased: true,
            remote,
            gone: false,
            health: Health::Serving,
            running: Vec::new(),
            in_doubt: 0,
            ratio: Estimate::new(ratio, RATIO_WEIGHT),
            last_sample: time::Monotonic::ZERO,
            failures: 0,
            successes: 0,
            dropped_at: None,
            ejections: 0,
            is_needed: false,
            warm_at: time::Monotonic::ZERO,
            reported: None,
            key: None,
            position: None,
        }
    }

    /// Slots that count as used.
    pub(super) fn in_use(&self) -> u32 {
        self.running.len() as u32 + self.in_doubt
    }

    /// Most slots that the entry uses or will use under the present grant.
    pub(super) fn held(&self) -> u32 {
        let usable = if self.gone || self.view.leaving { 0 } else { self.view.slots };
        usable.max(self.in_use())
    }

    /// Whether it may take requests at all.
    pub(super) fn is_serving(&self) -> bool {
        let takes = matches!(self.health, Health::Serving | Health::Trial);
        takes && !self.gone && !self.view.leaving
    }

    /// Slots that may be used now.
    pub(super) fn limit(&self, cfg: &Config, now: time::Monotonic) -> u32 {
        if !self.is_serving() || !self.leased {
            return 0;
        }
        if self.health == Health::Trial {
            return self.view.slots.min(1);
        }
        let share = self.warmth(cfg, now);
        if share >= 1.0 || self.is_needed {
            return self.view.slots;
        }
        let slots = (f64::from(self.view.slots) * share).ceil() as u32;
        slots.clamp(1, self.view.slots.max(1)).min(self.view.slots)
    }

    /// Cost of sending one more request here.
    pub(super) fn cost(&self, cfg: &Config, now: time::Monotonic) -> u64 {
        if self.health == Health::Trial {
            return TRIAL_COST;
        }
        let load = f64::from(self.in_use() + 1);
        let failing = f64::from(1 + 10 * self.failures);
        let warmth = self.warmth(cfg, now).max(0.1);
        (COST_SCALE * self.ratio.get_mean() * load * failing / warmth) as u64
    }

    /// Share of its slots that a new executor may use, from 0 to 1.
    fn warmth(&self, cfg: &Config, now: time::Monotonic) -> f64 {
        if now >= self.warm_at {
            return 1.0;
        }
        let left = self.warm_at.since(now).as_secs_f64();
        1.0 - left / cfg.get_slow_start().as_secs_f64()
    }

    pub(super) fn name(&self) -> &id::ExecutorName {
        &self.view.name
    }
}
