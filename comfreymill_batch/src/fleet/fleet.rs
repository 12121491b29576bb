use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::size;
use comfreymill_types::time;

use super::{Pool, Rng, Worker, WorkerIndex};

/// Region and zone; a placement rule allows or excludes all workers of a location alike.
type Location = (id::RegionName, id::ZoneName);

/// All workers, with an index of those that may be given tasks.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    workers: Vec<Worker>,
    by_name: HashMap<id::WorkerName, WorkerIndex>,
    pools: BTreeMap<Location, Pool>,
    capacity: size::Resources,
    /// Number of workers by their resources beside executors.
    shapes: BTreeMap<Location, HashMap<size::Resources, usize>>,
}

impl Fleet {
    /// Returns the index of a worker and adds the worker if it is unknown.
    pub(crate) fn intern(
        &mut self,
        name: &id::WorkerName,
        incarnation: id::Incarnation,
        now: time::Monotonic,
    ) -> WorkerIndex {
        if let Some(index) = self.by_name.get(name) {
            return *index;
        }
        let index = WorkerIndex(self.workers.len() as u32);
        self.workers.push(Worker::new(name.clone(), incarnation, now));
        self.by_name.insert(name.clone(), index);
        index
    }

    pub(crate) fn find(&self, name: &id::WorkerName) -> Option<WorkerIndex> {
        self.by_name.get(name).copied()
    }

    pub(crate) fn get(&self, index: WorkerIndex) -> &Worker {
        &self.workers[index.0 as usize]
    }

    /// Returns a worker to change; [`Self::reindex`] must follow when its room may have changed.
    pub(crate) fn get_mut(&mut self, index: WorkerIndex) -> &mut Worker {
        &mut self.workers[index.0 as usize]
    }

    /// Iterates over all workers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (WorkerIndex, &Worker)> {
        self.workers.iter().enumerate().map(|(i, worker)| (WorkerIndex(i as u32), worker))
    }

    /// Returns the sum of the workers' capacities.
    pub(crate) fn get_capacity(&self) -> &size::Resources {
        &self.capacity
    }

    /// Sets the capacity of a worker and the sum reserved for its executors. Returns true if they
    /// changed and no other worker of its location has the same resources beside executors.
    pub(crate) fn set_shape(
        &mut self,
        index: WorkerIndex,
        capacity: size::Resources,
        executors: size::Resources,
    ) -> bool {
        let worker = &mut self.workers[index.0 as usize];
        if worker.counted_shape.is_some()
            && worker.capacity == capacity
            && worker.executors == executors
        {
            return false;
        }
        self.capacity = self.capacity.saturating_sub(&worker.capacity) + capacity;
        worker.capacity = capacity;
        worker.executors = executors;
        self.remove_shape(index);
        let worker = &mut self.workers[index.0 as usize];
        let room = worker.get_largest_room();
        let Some(location) = worker.region.clone().zip(worker.zone.clone()) else { return false };
        worker.counted_shape = Some(room);
        let count = self.shapes.entry(location).or_default().entry(room).or_default();
        *count += 1;
        *count == 1
    }

    /// Removes a worker from those that [`Self::can_ever_hold`] considers.
    pub(crate) fn remove_shape(&mut self, index: WorkerIndex) {
        let worker = &mut self.workers[index.0 as usize];
        let Some(room) = worker.counted_shape.take() else { return };
        let Some(location) = worker.region.clone().zip(worker.zone.clone()) else { return };
        let Some(shapes) = self.shapes.get_mut(&location) else { return };
        if let Some(count) = shapes.get_mut(&room) {
            *count -= 1;
            if *count == 0 {
                shapes.remove(&room);
            }
        }
    }

    /// Updates the index with the worker's room, or removes the worker if it may not be given
    /// tasks.
    pub(crate) fn reindex(&mut self, index: WorkerIndex, now: time::Monotonic, silence: Duration) {
        let worker = &self.workers[index.0 as usize];
        let (Some(region), Some(zone)) = (&worker.region, &worker.zone) else { return };
        let location = (region.clone(), zone.clone());
        let usable = worker.has_reported
            && !worker.leaving
            && worker.is_healthy()
            && worker.claim.is_none()
            && now.since(worker.last_heartbeat_at) <= silence;
        let room = worker.get_room();
        let pool = self.pools.entry(location).or_default();
        if usable {
            pool.insert(index, &room);
        } else {
            pool.remove(index);
        }
    }

    /// Removes a worker from the index before its location changes.
    pub(crate) fn unindex(&mut self, index: WorkerIndex) {
        self.remove_shape(index);
        let worker = &self.workers[index.0 as usize];
        let Some(location) = worker.region.clone().zip(worker.zone.clone()) else { return };
        if let Some(pool) = self.pools.get_mut(&location) {
            pool.remove(index);
        }
    }

    /// Returns whether the worker is in the index, so that it may be given tasks.
    pub(crate) fn is_indexed(&self, index: WorkerIndex) -> bool {
        let worker = &self.workers[index.0 as usize];
        let (Some(region), Some(zone)) = (&worker.region, &worker.zone) else { return false };
        self.pools.get(&(region.clone(), zone.clone())).is_some_and(|pool| pool.contains(index))
    }

    /// Iterates over the buckets of workers that `rule` allows and that may have room for `need`.
    pub(crate) fn feasible<'a>(
        &'a self,
        rule: &'a document::PlacementRule,
        need: &'a size::Resources,
    ) -> impl Iterator<Item = &'a [WorkerIndex]> {
        self.pools
            .iter()
            .filter(|((region, zone), _)| rule.allows(region, zone))
            .flat_map(|(_, pool)| pool.feasible(need))
    }

    /// Returns a random sample of up to `count` indexed workers that `rule` allows, whatever their
    /// room.
    pub(crate) fn sample(
        &self,
        rule: &document::PlacementRule,
        count: usize,
        rng: &mut Rng,
    ) -> Vec<WorkerIndex> {
        let pools: Vec<&Pool> = self
            .pools
            .iter()
            .filter(|((region, zone), pool)| rule.allows(region, zone) && pool.len() > 0)
            .map(|(_, pool)| pool)
            .collect();
        if pools.is_empty() {
            return Vec::new();
        }
        let mut found: Vec<WorkerIndex> = (0..count)
            .filter_map(|_| {
                let pool = pools[rng.below(pools.len())];
                pool.sample(rng)
            })
            .collect();
        found.sort_unstable();
        found.dedup();
        found
    }

    /// Returns whether a worker that `rule` allows has `need` beside its executors.
    pub(crate) fn can_ever_hold(
        &self,
        rule: &document::PlacementRule,
        need: &size::Resources,
    ) -> bool {
        self.rooms(rule).any(|room| need.fits_in(room))
    }

    /// Returns the resources beside executors of the allowed worker with the smallest shortage for
    /// `need`.
    pub(crate) fn nearest_room(
        &self,
        rule: &document::PlacementRule,
        need: &size::Resources,
    ) -> size::Resources {
        let shortage = |room: &size::Resources| {
            let missing = need.saturating_sub(room);
            let sizes = (room.accelerators, room.cores, room.memory);
            (missing.accelerators, missing.cores, missing.memory, sizes)
        };
        self.rooms(rule).copied().min_by_key(shortage).unwrap_or(size::Resources::ZERO)
    }

    /// Returns whether no worker has reported its capacity.
    pub(crate) fn is_empty(&self) -> bool {
        self.shapes.values().all(HashMap::is_empty)
    }

    fn rooms<'a>(
        &'a self,
        rule: &'a document::PlacementRule,
    ) -> impl Iterator<Item = &'a size::Resources> {
        self.shapes
            .iter()
            .filter(|((region, zone), _)| rule.allows(region, zone))
            .flat_map(|(_, shapes)| shapes.keys())
    }
}
