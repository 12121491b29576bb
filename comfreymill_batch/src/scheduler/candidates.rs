use comfreymill_types::id;
use comfreymill_types::size;

use super::Scheduler;
use super::cost::Cost;
use crate::catalog;
use crate::config;
use crate::fleet;
use crate::queue;

const SAMPLED_WORKERS: usize = 32;
/// Size of the second sample, taken if no worker of the first is acceptable.
const MAX_SAMPLED_WORKERS: usize = 160;

/// # Choice of a worker
impl Scheduler {
    /// Chooses a worker for a task by the policy. Returns the worker with the reason of the choice,
    /// or why no worker can be chosen.
    pub(super) fn choose(
        &mut self,
        id: id::TaskId,
        spec: &catalog::ClassSpec,
        need: &size::Resources,
    ) -> Result<(fleet::WorkerIndex, String), queue::BlockReason> {
        match self.cfg.get_policy() {
            config::Policy::FirstFit => self.choose_first(id, spec, need),
            config::Policy::BestFit | config::Policy::EvictImmediately => {
                self.choose_tightest(id, spec, need)
            }
            config::Policy::InterferenceAware => self.choose_cheapest(id, spec, need),
        }
    }

    fn choose_first(
        &self,
        id: id::TaskId,
        spec: &catalog::ClassSpec,
        need: &size::Resources,
    ) -> Result<(fleet::WorkerIndex, String), queue::BlockReason> {
        let first = self.all_fitting(id, spec, need).min();
        first
            .map(|index| (index, "it is the first with room".to_owned()))
            .ok_or(queue::BlockReason::NoRoom)
    }

    fn choose_tightest(
        &self,
        id: id::TaskId,
        spec: &catalog::ClassSpec,
        need: &size::Resources,
    ) -> Result<(fleet::WorkerIndex, String), queue::BlockReason> {
        let left = |index: &fleet::WorkerIndex| {
            let room = self.fleet.get(*index).get_room().saturating_sub(need);
            (room.accelerators, room.cores, room.memory, *index)
        };
        let tightest = self.all_fitting(id, spec, need).min_by_key(left);
        tightest
            .map(|index| (index, "it is left with the least room".to_owned()))
            .ok_or(queue::BlockReason::NoRoom)
    }

    fn choose_cheapest(
        &mut self,
        id: id::TaskId,
        spec: &catalog::ClassSpec,
        need: &size::Resources,
    ) -> Result<(fleet::WorkerIndex, String), queue::BlockReason> {
        let mut fitting = self.sample_fitting(id, spec, need, SAMPLED_WORKERS);
        if fitting.is_empty() {
            fitting = self.all_fitting(id, spec, need).take(SAMPLED_WORKERS).collect();
        }
        if fitting.is_empty() {
            return Err(queue::BlockReason::NoRoom);
        }
        let mut best = self.cheapest_of(id, spec, need, &fitting);
        if best.is_none() {
            let more = self.sample_fitting(id, spec, need, MAX_SAMPLED_WORKERS);
            best = self.cheapest_of(id, spec, need, &more);
        }
        let Some((index, cost)) = best else { return Err(queue::BlockReason::Interference) };
        let reason = format!(
            "it costs least of {}: expected slowdown {:.2}, fit {:.2}, spread {:.2}",
            fitting.len(),
            1.0 + cost.slowdown,
            cost.fit,
            cost.spread
        );
        Ok((index, reason))
    }

    fn cheapest_of(
        &self,
        id: id::TaskId,
        spec: &catalog::ClassSpec,
        need: &size::Resources,
        workers: &[fleet::WorkerIndex],
    ) -> Option<(fleet::WorkerIndex, Cost)> {
        workers
            .iter()
            .filter_map(|index| Some((*index, self.get_cost(id, spec, need, *index)?)))
            .min_by(|a, b| a.1.get_total().total_cmp(&b.1.get_total()).then(a.0.cmp(&b.0)))
    }

    /// Returns the workers that fit, out of a random sample of `count` over all buckets.
    fn sample_fitting(
        &mut self,
        id: id::TaskId,
        spec: &catalog::ClassSpec,
        need: &size::Resources,
        count: usize,
    ) -> Vec<fleet::WorkerIndex> {
        let buckets: Vec<&[fleet::WorkerIndex]> = self.fleet.feasible(&spec.rule, need).collect();
        let total: usize = buckets.iter().map(|members| members.len()).sum();
        if total == 0 {
            return Vec::new();
        }
        let mut picks: Vec<usize> = if total <= count {
            (0..total).collect()
        } else {
            (0..count).map(|_| self.rng.below(total)).collect()
        };
        picks.sort_unstable();
        picks.dedup();
        let mut found = Vec::with_capacity(picks.len());
        let mut passed = 0;
        let mut bucket = 0;
        for pick in picks {
            while pick - passed >= buckets[bucket].len() {
                passed += buckets[bucket].len();
                bucket += 1;
            }
            found.push(buckets[bucket][pick - passed]);
        }
        found.retain(|index| self.fits(id, need, *index));
        found
    }

    fn all_fitting<'a>(
        &'a self,
        id: id::TaskId,
        spec: &'a catalog::ClassSpec,
        need: &'a size::Resources,
    ) -> impl Iterator<Item = fleet::WorkerIndex> {
        self.fleet
            .feasible(&spec.rule, need)
            .flatten()
            .copied()
            .filter(move |index| self.fits(id, need, *index))
    }

    fn fits(&self, id: id::TaskId, need: &size::Resources, index: fleet::WorkerIndex) -> bool {
        let worker = self.fleet.get(index);
        need.fits_in(&worker.get_room()) && !self.tasks[&id].avoids(&worker.name)
    }
}
