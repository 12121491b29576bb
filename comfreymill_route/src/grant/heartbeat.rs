use comfreymill_types::id;

use crate::router;

/// What an entry tells the leader each period, and at once when it has slots to return.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// Entry that tells.
    pub entry: id::EntryName,
    /// Life of the entry; rises over restarts.
    pub incarnation: id::Incarnation,
    /// Region of the entry.
    pub region: id::RegionName,
    /// Availability zone of the entry.
    pub zone: id::ZoneName,
    /// Number that rises with each heartbeat of this life.
    pub sequence: u64,
    /// Slots wanted of each service.
    pub demand: Vec<router::ServiceDemand>,
    /// What the entry may still use.
    pub holdings: Vec<router::Holding>,
    /// Executors that the entry has ejected and would rather have no slots of.
    pub avoided: Vec<id::ExecutorName>,
    /// Whether the entry is stopping and wants nothing more.
    pub draining: bool,
}
