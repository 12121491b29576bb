use std::net;

use comfreymill_types::id;

/// Executor as it announces itself.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Announcement {
    /// Name, kept over restarts.
    pub name: id::ExecutorName,
    /// One life of the executor; rises over restarts.
    pub incarnation: id::Incarnation,
    /// Service that it runs.
    pub service: id::ServiceName,
    /// Address for requests.
    pub address: net::SocketAddr,
    /// Region it runs in.
    pub region: id::RegionName,
    /// Availability zone it runs in.
    pub zone: id::ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
}
