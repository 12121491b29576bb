use std::collections::BTreeMap;

use comfreymill_types::id;
use comfreymill_types::time;

use super::{BlockReason, LaneKey};

/// Position of a lane in the queue.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct LaneIndex(pub(crate) u32);

/// Waiting tasks with the same placement requirements, in order of submission.
#[derive(Clone, Debug)]
pub(crate) struct Lane {
    pub(crate) key: LaneKey,
    pub(crate) tasks: BTreeMap<(u64, id::TaskId), time::Monotonic>,
    pub(crate) block: Option<BlockReason>,
}

impl Lane {
    /// Returns the next task to place: its order, its identifier and since when it waits.
    pub(crate) fn head(&self) -> Option<(u64, id::TaskId, time::Monotonic)> {
        self.tasks.first_key_value().map(|((order, task), since)| (*order, *task, *since))
    }
}
