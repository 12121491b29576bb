use std::net::SocketAddr;
use std::time::Duration;

use comfreymill_types::id;
use comfreymill_types::size;

/// Configuration of a stand-in worker.
#[derive(Clone, Debug)]
pub struct WorkerConfig {
    pub(super) name: id::WorkerName,
    pub(super) region: id::RegionName,
    pub(super) zone: id::ZoneName,
    pub(super) rack: id::RackName,
    pub(super) capacity: size::Resources,
    pub(super) entries: Vec<SocketAddr>,
    pub(super) period: Duration,
}

impl WorkerConfig {
    /// Creates the configuration of a worker in this rack that reports to `entries`.
    pub fn new(
        name: id::WorkerName,
        (region, zone, rack): (id::RegionName, id::ZoneName, id::RackName),
        capacity: size::Resources,
        entries: Vec<SocketAddr>,
    ) -> Self {
        Self { name, region, zone, rack, capacity, entries, period: Duration::from_millis(200) }
    }

    /// Sets the interval between reports.
    #[must_use]
    pub fn period(mut self, period: Duration) -> Self {
        self.period = period;
        self
    }
}
