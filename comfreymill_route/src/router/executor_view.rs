use std::net;

use comfreymill_types::id;

/// Executor in the table that the group's leader sends to one entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExecutorView {
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
    /// Number of slots that the entry may use.
    pub slots: u32,
    /// Number of connections that the entry may keep open.
    pub connections: u32,
    /// Epoch of the grant; a view with a lower epoch is ignored.
    pub epoch: u64,
    /// Whether the executor accepts no new requests.
    pub leaving: bool,
}
