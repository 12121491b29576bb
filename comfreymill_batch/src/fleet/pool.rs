use std::collections::BTreeMap;

use comfreymill_types::size;

use super::{Bucket, Rng, WorkerIndex};

/// Workers of one availability zone that may be given tasks, by their free resources.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    buckets: BTreeMap<Bucket, Vec<WorkerIndex>>,
    positions: BTreeMap<WorkerIndex, (Bucket, usize)>,
}

impl Pool {
    /// Adds a worker with `room`, or moves it to the bucket of its new room.
    pub(crate) fn insert(&mut self, worker: WorkerIndex, room: &size::Resources) {
        let bucket = Bucket::of(room);
        if self.positions.get(&worker).is_some_and(|entry| entry.0 == bucket) {
            return;
        }
        self.remove(worker);
        let members = self.buckets.entry(bucket).or_default();
        members.push(worker);
        self.positions.insert(worker, (bucket, members.len() - 1));
    }

    /// Removes a worker, if the pool contains it.
    pub(crate) fn remove(&mut self, worker: WorkerIndex) {
        let Some((bucket, position)) = self.positions.remove(&worker) else { return };
        let Some(members) = self.buckets.get_mut(&bucket) else { return };
        members.swap_remove(position);
        if let Some(moved) = members.get(position) {
            self.positions.insert(*moved, (bucket, position));
        }
        if members.is_empty() {
            self.buckets.remove(&bucket);
        }
    }

    /// Returns whether the pool contains the worker.
    pub(crate) fn contains(&self, worker: WorkerIndex) -> bool {
        self.positions.contains_key(&worker)
    }

    /// Iterates over the members of each bucket that may have room for `need`, those with the
    /// least room first.
    pub(crate) fn feasible(&self, need: &size::Resources) -> impl Iterator<Item = &[WorkerIndex]> {
        let need = Bucket::of(need);
        let from = Bucket { accelerators: need.accelerators, cores: 0, memory: 0 };
        self.buckets
            .range(from..)
            .filter(move |(bucket, _)| bucket.may_hold(need))
            .map(|(_, members)| members.as_slice())
    }

    /// Returns a random member: first a random bucket, then a random worker in it.
    pub(crate) fn sample(&self, rng: &mut Rng) -> Option<WorkerIndex> {
        if self.positions.is_empty() {
            return None;
        }
        let skip = rng.below(self.buckets.len());
        let members = self.buckets.values().nth(skip)?;
        Some(members[rng.below(members.len())])
    }

    /// Returns the number of members.
    pub(crate) fn len(&self) -> usize {
        self.positions.len()
    }
}
