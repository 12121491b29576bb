use std::collections::{BTreeMap, BTreeSet};

use crate::id;
use crate::worker;

/// Workers by free resources: accelerators, processor time, memory.
#[derive(Debug, Default)]
pub(super) struct RoomIndex {
    levels: BTreeMap<u32, BTreeMap<u32, BTreeSet<(u32, id::WorkerNumber)>>>,
}

impl RoomIndex {
    pub(super) fn insert(&mut self, free: &worker::Resources, number: id::WorkerNumber) {
        let level = self.levels.entry(free.gpus).or_default();
        level.entry(free.cpu_milli).or_default().insert((free.mem_mb, number));
    }

    pub(super) fn remove(&mut self, free: &worker::Resources, number: id::WorkerNumber) {
        let Some(level) = self.levels.get_mut(&free.gpus) else { return };
        let Some(row) = level.get_mut(&free.cpu_milli) else { return };
        row.remove(&(free.mem_mb, number));
        if row.is_empty() {
            level.remove(&free.cpu_milli);
        }
        if level.is_empty() {
            self.levels.remove(&free.gpus);
        }
    }

    /// Returns the workers that have room for `needs`, by accelerators and then by free processor
    /// time, the least first.
    pub(super) fn fitting(
        &self,
        needs: worker::Resources,
    ) -> impl Iterator<Item = impl Iterator<Item = id::WorkerNumber>> {
        self.levels.range(needs.gpus..).map(move |(_, level)| {
            level.range(needs.cpu_milli..).flat_map(move |(_, row)| {
                row.range((needs.mem_mb, id::WorkerNumber::new(0))..).map(|(_, number)| *number)
            })
        })
    }

    /// Returns the workers by free processor time, the most first, in each level of accelerators.
    pub(super) fn roomiest(&self) -> impl Iterator<Item = impl Iterator<Item = id::WorkerNumber>> {
        self.levels
            .values()
            .map(|level| level.values().rev().flat_map(|row| row.iter().map(|(_, number)| *number)))
    }
}
