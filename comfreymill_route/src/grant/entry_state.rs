use std::collections::{BTreeMap, BTreeSet};

use comfreymill_types::id;
use comfreymill_types::time;

/// State of an entry as last reported to the leader.
#[derive(Debug)]
pub(super) struct EntryState {
    pub(super) incarnation: id::Incarnation,
    /// Region from the latest heartbeat; `None` before the first one.
    pub(super) region: Option<id::RegionName>,
    pub(super) sequence: u64,
    pub(super) last_heard: time::Monotonic,
    pub(super) demand: BTreeMap<id::ServiceName, u32>,
    /// Executors that the entry has ejected.
    pub(super) avoided: BTreeSet<id::ExecutorName>,
    pub(super) draining: bool,
    /// Earlier incarnations, each with the time at which none of its requests can still be running.
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
