use std::net::SocketAddr;
use std::time::Duration;

use comfreymill_node::protocol;
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::size;

use super::Behaviour;

const SLOTS: u32 = 8;
const CONNECTIONS: u32 = 64;

/// Configuration of a stand-in executor.
#[derive(Clone, Debug)]
pub struct ExecutorConfig {
    pub(super) announcement: protocol::ExecutorAnnouncement,
    pub(super) entries: Vec<SocketAddr>,
    pub(super) behaviour: Behaviour,
    pub(super) period: Duration,
}

impl ExecutorConfig {
    /// Creates the configuration of an executor of a service that announces itself to `entries`.
    pub fn new(
        name: id::ExecutorName,
        environment: id::EnvironmentName,
        service: id::ServiceName,
        (region, zone): (id::RegionName, id::ZoneName),
        entries: Vec<SocketAddr>,
    ) -> Self {
        let announcement = protocol::ExecutorAnnouncement {
            name,
            incarnation: comfreymill_node::runtime::incarnation(),
            environment,
            stage: document::Stage::Production,
            service,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            region,
            zone,
            slots: SLOTS,
            connections: CONNECTIONS,
            state: protocol::UpstreamState::Ready,
            worker: None,
            reserved: size::Resources::ZERO,
        };
        let behaviour = Behaviour::Echo(Duration::from_millis(1));
        Self { announcement, entries, behaviour, period: Duration::from_millis(500) }
    }

    /// Sets how the executor answers requests.
    #[must_use]
    pub fn behaviour(mut self, behaviour: Behaviour) -> Self {
        self.behaviour = behaviour;
        self
    }

    /// Sets the stage that the executor serves.
    #[must_use]
    pub fn stage(mut self, stage: document::Stage) -> Self {
        self.announcement.stage = stage;
        self
    }

    /// Sets the number of requests that the executor announces it can run at the same time.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.announcement.slots = slots;
        self
    }

    /// Sets the interval between announcements.
    #[must_use]
    pub fn period(mut self, period: Duration) -> Self {
        self.period = period;
        self
    }
}
