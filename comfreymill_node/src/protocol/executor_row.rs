use std::net;

use comfreymill_types::id;

use super::EnvironmentStage;

/// Executor together with the slots and connections that one entry may use of it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecutorRow {
    /// Environment and stage that it serves.
    #[serde(rename = "desk")]
    pub environment_stage: EnvironmentStage,
    /// Name of the executor.
    pub name: id::ExecutorName,
    /// Incarnation of the executor.
    pub incarnation: id::Incarnation,
    /// Service that it runs.
    pub service: id::ServiceName,
    /// Address for requests.
    pub address: net::SocketAddr,
    /// Region it runs in.
    pub region: id::RegionName,
    /// Availability zone it runs in.
    pub zone: id::ZoneName,
    /// Number of slots that the entry may use.
    pub slots: u32,
    /// Number of connections that the entry may hold open.
    pub connections: u32,
    /// Epoch of the grant.
    pub epoch: u64,
    /// Whether it accepts no new work.
    pub leaving: bool,
}
