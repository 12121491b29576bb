use std::net;

use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::size;

/// What an executor says of itself about once a second.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecutorAnnouncement {
    /// Name, kept over restarts.
    pub name: id::ExecutorName,
    /// Life of the executor; a restart brings a greater one.
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
    /// Requests that it can run at once.
    pub slots: u32,
    /// Connections that it can hold open.
    pub connections: u32,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: UpstreamState,
    /// Worker that it runs on.
    #[serde(default)]
    pub worker: Option<id::WorkerName>,
    /// What is reserved for it on the worker.
    #[serde(default)]
    pub reserved: size::Resources,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// It takes new work.
    #[default]
    Ready,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

fn default_stage() -> document::Stage {
    document::Stage::Production
}
