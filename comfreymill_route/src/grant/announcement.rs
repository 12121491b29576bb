use std::net;

use comfreymill_types::id;

/// Identity, location and capacity that an executor announces to the leader.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Announcement {
    /// Name of the executor; unchanged across restarts.
    pub name: id::ExecutorName,
    /// Incarnation of the executor; increases with every restart.
    pub incarnation: id::Incarnation,
    /// Service that the executor runs.
    pub service: id::ServiceName,
    /// Address that accepts requests.
    pub address: net::SocketAddr,
    /// Region in which the executor runs.
    pub region: id::RegionName,
    /// Availability zone in which the executor runs.
    pub zone: id::ZoneName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
}
