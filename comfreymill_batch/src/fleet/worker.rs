use std::collections::BTreeSet;

use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::size;
use comfreymill_types::time;

use super::{Health, MixHistory, Pressure, ServiceLoad};

/// Worker as the leader sees it.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) name: id::WorkerName,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) sequence: u64,
    /// Whether it reported to this leader.
    pub(crate) known: bool,
    /// When its last heartbeat was handled, or the leader began to count.
    pub(crate) heard_at: time::Monotonic,
    pub(crate) region: Option<id::RegionName>,
    pub(crate) zone: Option<id::ZoneName>,
    pub(crate) rack: Option<id::RackName>,
    pub(crate) capacity: size::Resources,
    /// Room beside the executors that the fleet counts for it.
    pub(crate) filed_shape: Option<size::Resources>,
    /// Sum of what is reserved for executors.
    pub(crate) executors: size::Resources,
    /// Sum of what is reserved for attempts, those in flight and those stopping included.
    pub(crate) reserved: size::Resources,
    /// What executors and attempts were last seen to use; a fresh attempt counts as reserved.
    pub(crate) observed: size::Resources,
    pub(crate) tasks: BTreeSet<id::TaskId>,
    pub(crate) services: Vec<ServiceLoad>,
    pub(crate) leaving: bool,
    pub(crate) health: Health,
    /// Tasks that failed here since the last success and are not known to fail elsewhere.
    pub(crate) suspects: BTreeSet<id::TaskId>,
    /// Tasks that finished here.
    pub(crate) successes: u64,
    /// Urgent task that the room being freed is held for.
    pub(crate) claim: Option<(id::TaskId, time::Monotonic)>,
    pub(crate) mixes: MixHistory,
    pub(crate) pressure: Pressure,
}

impl Worker {
    /// Worker that did not report yet.
    pub(crate) fn new(
        name: id::WorkerName,
        incarnation: id::Incarnation,
        now: time::Monotonic,
    ) -> Self {
        Self {
            name,
            incarnation,
            sequence: 0,
            known: false,
            heard_at: now,
            region: None,
            zone: None,
            rack: None,
            capacity: size::Resources::ZERO,
            filed_shape: None,
            executors: size::Resources::ZERO,
            reserved: size::Resources::ZERO,
            observed: size::Resources::ZERO,
            tasks: BTreeSet::new(),
            services: Vec::new(),
            leaving: false,
            health: Health::Sound,
            suspects: BTreeSet::new(),
            successes: 0,
            claim: None,
            mixes: MixHistory::default(),
            pressure: Pressure::default(),
        }
    }

    /// Amounts that are neither reserved nor seen in use.
    pub(crate) fn get_room(&self) -> size::Resources {
        let used = (self.executors + self.reserved).max(&self.observed);
        self.capacity.saturating_sub(&used)
    }

    /// Amounts beside the executors.
    pub(crate) fn get_largest_room(&self) -> size::Resources {
        self.capacity.saturating_sub(&self.executors)
    }

    /// Whether `rule` allows it.
    pub(crate) fn is_allowed(&self, rule: &document::PlacementRule) -> bool {
        let place = self.region.as_ref().zip(self.zone.as_ref());
        place.is_some_and(|(region, zone)| rule.allows(region, zone))
    }

    /// Part of the VM's cores.
    pub(crate) fn part_of_cores(&self, size: &size::Resources) -> f64 {
        size.cores.as_millis() as f64 / self.capacity.cores.as_millis().max(1) as f64
    }

    /// Whether it is trusted with tasks.
    pub(crate) fn is_sound(&self) -> bool {
        self.health == Health::Sound
    }
}
