use std::net;

use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::size;

/// Announcement that an executor sends about once a second.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecutorAnnouncement {
    /// Name of the executor, which stays the same after a restart.
    pub name: id::ExecutorName,
    /// Incarnation of the executor; each restart has a greater one.
    pub incarnation: id::Incarnation,
    /// Environment that it serves.
    pub environment: id::EnvironmentName,
    /// Stage that it serves.
    #[serde(default = "default_stage")]
    pub stage: document::Stage,
    /// Service that it runs.
    pub service: id::ServiceName,
    /// Address for requests.
    pub address: net::SocketAddr,
    /// Region it runs in.
    pub region: id::RegionName,
    /// Availability zone it runs in.
    pub zone: id::ZoneName,
    /// Number of requests that it can run at once.
    pub slots: u32,
    /// Number of connections that it can hold open.
    pub connections: u32,
    /// Whether it accepts new work.
    #[serde(default)]
    pub state: UpstreamState,
    /// Worker that it runs on.
    #[serde(default)]
    pub worker: Option<id::WorkerName>,
    /// Resources that are reserved for it on the worker.
    #[serde(default)]
    pub reserved: size::Resources,
}

/// Whether an upstream accepts new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// It accepts new work.
    #[default]
    Ready,
    /// It finishes its current work and accepts no new work.
    Leaving,
}

fn default_stage() -> document::Stage {
    document::Stage::Production
}
