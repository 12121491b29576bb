use std::net;

use comfreymill_types::id;

/// Executor as the group's leader shows it to one entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExecutorView {
    /// Name, kept over restarts.
    pub name: id::ExecutorName,
    /// One life of the executor.
    pub incarnation: id::Incarnation,
    /// Service that it runs.
    pub service: id::ServiceName,
    /// Address for requests.
    pub address: net::SocketAddr,
    /// Region it runs in.
    pub region: id::RegionName,
    /// Availability zone it runs in.
    pub zone: id::ZoneName,
    /// Slots that this entry may use.
    pub slots: u32,
    /// Connections that this entry may hold open.
    pub connections: u32,
    /// Epoch of the grant; a view of a lower epoch is ignored.
    pub epoch: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
}
