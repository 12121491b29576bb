use std::collections::{BTreeMap, BTreeSet, HashMap};

use comfreymill_types::id;
use comfreymill_types::time;

use super::{BlockReason, Lane, LaneIndex, LaneKey};

/// Waiting tasks by lane, with the set of lanes that are ready or blocked.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lanes: Vec<Lane>,
    free: Vec<LaneIndex>,
    by_key: HashMap<LaneKey, LaneIndex>,
    ready: BTreeSet<LaneIndex>,
    blocked: BTreeSet<LaneIndex>,
    waiting: usize,
}

impl Queue {
    /// Adds a task to the lane of `key`.
    pub(crate) fn push(
        &mut self,
        key: LaneKey,
        order: u64,
        task: id::TaskId,
        since: time::Monotonic,
    ) -> LaneIndex {
        let index = self.lane_of(key);
        let lane = &mut self.lanes[index.0 as usize];
        if lane.tasks.insert((order, task), since).is_none() {
            self.waiting += 1;
        }
        if lane.block.is_none() {
            self.ready.insert(index);
        }
        index
    }

    /// Removes a task from its lane, and the lane once it is empty.
    pub(crate) fn remove(&mut self, index: LaneIndex, order: u64, task: id::TaskId) {
        let lane = &mut self.lanes[index.0 as usize];
        if lane.tasks.remove(&(order, task)).is_some() {
            self.waiting -= 1;
        }
        if lane.tasks.is_empty() {
            self.by_key.remove(&lane.key);
            self.ready.remove(&index);
            self.blocked.remove(&index);
            self.free.push(index);
        }
    }

    pub(crate) fn lane(&self, index: LaneIndex) -> &Lane {
        &self.lanes[index.0 as usize]
    }

    /// Iterates over the lanes whose tasks may be placed.
    pub(crate) fn ready(&self) -> impl Iterator<Item = (LaneIndex, &Lane)> {
        self.ready.iter().map(|index| (*index, &self.lanes[index.0 as usize]))
    }

    /// Iterates over the lanes whose next task could not be placed.
    pub(crate) fn blocked(&self) -> impl Iterator<Item = (LaneIndex, &Lane)> {
        self.blocked.iter().map(|index| (*index, &self.lanes[index.0 as usize]))
    }

    /// Blocks a lane until [`Self::unblock`] or [`Self::retry`] makes it ready.
    pub(crate) fn block(&mut self, index: LaneIndex, block: BlockReason) {
        self.lanes[index.0 as usize].block = Some(block);
        self.ready.remove(&index);
        self.blocked.insert(index);
    }

    /// Makes ready every blocked lane for which `lifts` returns true.
    pub(crate) fn unblock<F>(&mut self, mut lifts: F)
    where
        F: FnMut(&LaneKey, BlockReason) -> bool,
    {
        let lanes = &mut self.lanes;
        let ready = &mut self.ready;
        self.blocked.retain(|index| {
            let lane = &mut lanes[index.0 as usize];
            let keep = lane.block.is_some_and(|block| !lifts(&lane.key, block));
            if !keep {
                lane.block = None;
                ready.insert(*index);
            }
            keep
        });
    }

    /// Makes a blocked lane ready again.
    pub(crate) fn retry(&mut self, index: LaneIndex) {
        if self.blocked.remove(&index) {
            self.lanes[index.0 as usize].block = None;
            self.ready.insert(index);
        }
    }

    /// Returns the number of waiting tasks.
    pub(crate) fn len(&self) -> usize {
        self.waiting
    }

    fn lane_of(&mut self, key: LaneKey) -> LaneIndex {
        if let Some(index) = self.by_key.get(&key) {
            return *index;
        }
        let lane = Lane { key, tasks: BTreeMap::new(), block: None };
        let index = match self.free.pop() {
            Some(index) => {
                self.lanes[index.0 as usize] = lane;
                index
            }
            None => {
                self.lanes.push(lane);
                LaneIndex(self.lanes.len() as u32 - 1)
            }
        };
        self.by_key.insert(key, index);
        index
    }
}
