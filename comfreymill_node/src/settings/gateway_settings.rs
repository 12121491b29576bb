use std::net::SocketAddr;

use comfreymill_types::yaml;

use super::NodeSettings;
use super::settings_file;

/// Settings of a gateway process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewaySettings {
    node: NodeSettings,
    callers: SocketAddr,
    ready: SocketAddr,
}

impl GatewaySettings {
    /// Settings that schedulers have too.
    pub fn get_node(&self) -> &NodeSettings {
        &self.node
    }

    /// Where callers reach the process.
    pub fn get_callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where the balancer asks whether the process takes callers.
    pub fn get_ready(&self) -> SocketAddr {
        self.ready
    }

    pub(super) fn read_section(section: &yaml::Section<'_>) -> Option<Self> {
        settings_file::read_program(section, settings_file::GATEWAY);
        let node = NodeSettings::read(section);
        let listeners = section.required_section("listeners");
        let callers = listeners.required("callers");
        let ready = listeners.required("ready");
        listeners.finish();
        Some(Self { node: node?, callers: callers?, ready: ready? })
    }
}
