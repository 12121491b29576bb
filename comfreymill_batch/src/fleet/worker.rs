use std::collections::BTreeSet;

use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::size;
use comfreymill_types::time;

use super::{Health, MixHistory, Pressure, ServiceLoad};

/// State of a worker as known to the leader.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) name: id::WorkerName,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) sequence: u64,
    /// Whether the worker has reported to this leader.
    pub(crate) has_reported: bool,
    /// When its last heartbeat was handled, or when the leader first counted its leases.
    pub(crate) last_heartbeat_at: time::Monotonic,
    pub(crate) region: Option<id::RegionName>,
    pub(crate) zone: Option<id::ZoneName>,
    pub(crate) rack: Option<id::RackName>,
    pub(crate) capacity: size::Resources,
    /// Resources beside executors that the fleet's shapes count for the worker, if any.
    pub(crate) counted_shape: Option<size::Resources>,
    /// Sum of the resources reserved for executors.
    pub(crate) executors: size::Resources,
    /// Sum of the resources reserved for attempts, including those whose start is not committed
    /// yet and those that are stopping.
    pub(crate) reserved: size::Resources,
    /// Sum of the resources last measured for executors and attempts; one without a measurement
    /// counts with what is reserved for it.
    pub(crate) observed: size::Resources,
    pub(crate) tasks: BTreeSet<id::TaskId>,
    pub(crate) services: Vec<ServiceLoad>,
    pub(crate) leaving: bool,
    pub(crate) health: Health,
    /// Tasks that failed here since the last success, and whose failure is not attributed to the
    /// task or its job.
    pub(crate) unexplained_failures: BTreeSet<id::TaskId>,
    /// Number of attempts that finished here with success.
    pub(crate) successes: u64,
    /// Urgent task for which room is being freed, and the time at which its claim expires.
    pub(crate) claim: Option<(id::TaskId, time::Monotonic)>,
    pub(crate) mixes: MixHistory,
    pub(crate) pressure: Pressure,
}

impl Worker {
    /// Creates a worker that has not reported yet.
    pub(crate) fn new(
        name: id::WorkerName,
        incarnation: id::Incarnation,
        now: time::Monotonic,
    ) -> Self {
        Self {
            name,
            incarnation,
            sequence: 0,
            has_reported: false,
            last_heartbeat_at: now,
            region: None,
            zone: None,
            rack: None,
            capacity: size::Resources::ZERO,
            counted_shape: None,
            executors: size::Resources::ZERO,
            reserved: size::Resources::ZERO,
            observed: size::Resources::ZERO,
            tasks: BTreeSet::new(),
            services: Vec::new(),
            leaving: false,
            health: Health::Healthy,
            unexplained_failures: BTreeSet::new(),
            successes: 0,
            claim: None,
            mixes: MixHistory::default(),
            pressure: Pressure::default(),
        }
    }

    /// Returns the free resources: the capacity less the greater of reserved and measured use.
    pub(crate) fn get_room(&self) -> size::Resources {
        let used = (self.executors + self.reserved).max(&self.observed);
        self.capacity.saturating_sub(&used)
    }

    /// Returns the resources beside the executors.
    pub(crate) fn get_largest_room(&self) -> size::Resources {
        self.capacity.saturating_sub(&self.executors)
    }

    /// Returns whether `rule` allows the worker's region and zone.
    pub(crate) fn is_allowed(&self, rule: &document::PlacementRule) -> bool {
        let location = self.region.as_ref().zip(self.zone.as_ref());
        location.is_some_and(|(region, zone)| rule.allows(region, zone))
    }

    /// Returns the cores of `size` as a fraction of the VM's cores.
    pub(crate) fn get_core_fraction(&self, size: &size::Resources) -> f64 {
        size.cores.as_millis() as f64 / self.capacity.cores.as_millis().max(1) as f64
    }

    /// Returns whether the worker is neither quarantined nor being probed.
    pub(crate) fn is_healthy(&self) -> bool {
        self.health == Health::Healthy
    }
}
