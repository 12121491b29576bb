//! Packing of long-running tasks on a pool that is nearly full.
//!
//! Load pattern: long-running tasks reserve nine tenths of a pool, and those of one image are kept
//! together for the sake of the fillers beside them. What each worker has left is then a fragment,
//! too small for most short tasks, and large ones wait until a long-running task ends. While a
//! pool has room, fragments hurt nobody. Once it is nearly full, a long-running task goes to a
//! worker that it fills up, if there is one, and otherwise to the best one for its image. That
//! keeps the other workers' room in usable pieces.

use std::collections::BTreeMap;
use std::time::Duration;

use comfreymill_types::time;

use super::score::Scorer;
use super::search::Search;
use super::workers::PoolId;
use super::{PackingConfig, Scheduler};
use crate::id;
use crate::job;

/// Time between updates of how full the pools are; each reads all workers.
const UPDATE_PERIOD: Duration = Duration::from_millis(20);

/// How full the pools are.
#[derive(Debug, Default)]
pub(super) struct Packing {
    updated_at: Option<time::Monotonic>,
    pools: BTreeMap<PoolId, Fill>,
}

/// Reserved and total processor time of a pool's usable workers, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct Fill {
    reserved: u64,
    capacity: u64,
}

impl Fill {
    fn is_nearly_full(&self, cfg: PackingConfig) -> bool {
        self.reserved * 100 >= self.capacity * u64::from(cfg.get_from_percent())
    }
}

/// # Packing of long-running tasks
impl Scheduler {
    /// Updates how full the pools are, unless that was done a moment ago.
    pub(super) fn update_packing(&mut self, now: time::Monotonic) {
        let is_recent = self.packing.updated_at.is_some_and(|at| now.since(at) < UPDATE_PERIOD);
        let Some(cfg) = self.cfg.get_packing().filter(|_| !is_recent) else { return };
        let mut fills: BTreeMap<&str, Fill> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_usable(now)) {
            let fill = fills.entry(&worker.announcement.pool).or_default();
            fill.reserved += u64::from(worker.reserved.cpu_milli);
            fill.capacity += u64::from(worker.announcement.capacity.cpu_milli);
        }
        let fills = fills.into_iter().map(|(name, fill)| (name.to_owned(), fill));
        let fills: Vec<(String, Fill)> = fills.collect();
        self.packing.updated_at = Some(now);
        let before = std::mem::take(&mut self.packing.pools);
        for (name, fill) in fills {
            let pool = self.workers.pool(&name);
            let was_full = before.get(&pool).is_some_and(|before| before.is_nearly_full(cfg));
            if was_full != fill.is_nearly_full(cfg) {
                log::debug!(target: "fleet", pool:% = name, reserved_cpu = fill.reserved, cpu = fill.capacity, from_percent = cfg.get_from_percent(), packed = !was_full; "whether long-running tasks are packed has changed");
            }
            self.packing.pools.insert(pool, fill);
        }
    }

    /// Counts the room that a run takes, as one round may fill a pool.
    pub(super) fn note_reserved(&mut self, worker: id::WorkerNumber, spec: &job::StepSpec) {
        if self.packing.pools.is_empty() {
            return;
        }
        let Some(worker) = self.workers.get(&worker) else { return };
        let pool = worker.announcement.pool.clone();
        let pool = self.workers.pool(&pool);
        if let Some(fill) = self.packing.pools.get_mut(&pool) {
            fill.reserved += u64::from(spec.reserved().cpu_milli);
        }
    }

    /// Chooses a worker that a serving task fills up, if its pool is nearly full: the one with the
    /// highest score among them.
    pub(super) fn choose_tight(&mut self, search: Search<'_>) -> Option<id::WorkerNumber> {
        let Search { now, pool, task, spec, image } = search;
        let cfg = self.cfg.get_packing()?;
        let fill = self.packing.pools.get(&pool)?;
        if spec.kind() != job::StepKind::Serving || !fill.is_nearly_full(cfg) {
            return None;
        }
        let scorer = Scorer::new(&self.interference, spec, image);
        let needs = spec.reserved();
        let label = spec.required_label.as_deref();
        let mut best = None;
        self.steps += self.workers.best_fits(pool, label, needs, |number, worker| {
            let left = worker.free().cpu_milli.saturating_sub(needs.cpu_milli);
            if left >= cfg.get_tight_cpu_milli() {
                return true;
            }
            if worker.fits(now, task, spec) && worker.isolation_penalty(now, false) == 0 {
                let score = scorer.score(worker);
                best = best.max(score.map(|score| (score, std::cmp::Reverse(number))));
            }
            false
        });
        best.map(|(_, number)| number.0)
    }
}
