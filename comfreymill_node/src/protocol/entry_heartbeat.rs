use comfreymill_route::router;
use comfreymill_types::id;
use comfreymill_types::time;

use super::DeskKey;

/// What an entry tells the leader several times a second.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryHeartbeat {
    /// Log index of the documents in force at the entry.
    pub revision: u64,
    /// Slots wanted.
    pub demand: Vec<DeskDemand>,
    /// Grants in use.
    pub holdings: Vec<router::Holding>,
    /// Executors that the entry has ejected.
    pub avoided: Vec<id::ExecutorName>,
    /// Whether the entry is stopping.
    pub draining: bool,
    /// Whether nothing of this life of the entry runs or ever will.
    pub is_over: bool,
}

/// Slots wanted by one desk.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeskDemand {
    /// Environment and stage.
    pub desk: DeskKey,
    /// Slots by service.
    pub services: Vec<router::ServiceDemand>,
}

/// Answer to an entry's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryLease {
    /// Length of the lease of grants and documents, from the sending of the heartbeat.
    pub lease: time::Span,
    /// Term of the leader.
    pub term: u64,
    /// Log index of the documents in force at the leader.
    pub revision: u64,
}
