use std::collections::{BTreeMap, BTreeSet};

use comfreymill_types::id;
use comfreymill_types::time;

/// Entry as the leader knows it.
#[derive(Debug)]
pub(super) struct EntryState {
    pub(super) incarnation: id::Incarnation,
    /// Region, once a heartbeat told it.
    pub(super) region: Option<id::RegionName>,
    pub(super) sequence: u64,
    pub(super) last_heard: time::Monotonic,
    pub(super) demand: BTreeMap<id::ServiceName, u32>,
    /// Executors that it has ejected.
    pub(super) avoided: BTreeSet<id::ExecutorName>,
    pub(super) draining: bool,
    /// Earlier lives with the time at which nothing of theirs can still run.
    pub(super) ended: Vec<(id::Incarnation, time::Monotonic)>,
}

impl EntryState {
    pub(super) fn new(incarnation: id::Incarnation, now: time::Monotonic) -> Self {
        Self {
            incarnation,
            region: None,
            sequence: 0,
            last_heard: now,
            demand: BTreeMap::new(),
            avoided: BTreeSet::new(),
            draining: false,
            ended: Vec::new(),
        }
    }
}
