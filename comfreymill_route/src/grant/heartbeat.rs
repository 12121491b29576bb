use comfreymill_types::id;

use crate::router;

/// Report that an entry sends to the leader once per period, and immediately when it has slots
/// to return.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// Entry that sends the heartbeat.
    pub entry: id::EntryName,
    /// Incarnation of the entry; increases with every restart.
    pub incarnation: id::Incarnation,
    /// Region of the entry.
    pub region: id::RegionName,
    /// Availability zone of the entry.
    pub zone: id::ZoneName,
    /// Sequence number; increases with each heartbeat of this incarnation.
    pub sequence: u64,
    /// Number of slots wanted for each service.
    pub demand: Vec<router::ServiceDemand>,
    /// Slots that the entry may still use, by executor.
    pub holdings: Vec<router::Holding>,
    /// Executors that the entry has ejected and on which it prefers to hold no slots.
    pub avoided: Vec<id::ExecutorName>,
    /// Whether the entry is stopping and needs no more slots than its demand.
    pub draining: bool,
}
