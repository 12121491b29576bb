use comfreymill_route::router;
use comfreymill_types::id;
use comfreymill_types::time;

use super::EnvironmentStage;

/// Heartbeat that an entry sends to the leader several times a second.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryHeartbeat {
    /// Log index of the documents in force at the entry.
    pub revision: u64,
    /// Slots that the entry wants.
    pub demand: Vec<StageDemand>,
    /// Grants that the entry uses.
    pub holdings: Vec<router::Holding>,
    /// Executors to which the entry sends no requests, since it ejected them.
    pub avoided: Vec<id::ExecutorName>,
    /// Whether the entry is stopping.
    pub draining: bool,
    /// Whether nothing of this incarnation of the entry runs or will ever run.
    pub is_over: bool,
}

/// Slots that the entry wants for one stage of an environment.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StageDemand {
    /// Environment and stage.
    #[serde(rename = "desk")]
    pub environment_stage: EnvironmentStage,
    /// Wanted slots by service.
    pub services: Vec<router::ServiceDemand>,
}

/// Answer to an entry's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryLease {
    /// Duration of the lease of grants and documents, counted from the sending of the heartbeat.
    pub lease: time::Span,
    /// Term of the leader.
    pub term: u64,
    /// Log index of the documents in force at the leader.
    pub revision: u64,
}
