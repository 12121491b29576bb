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
    /// Settings that gateways and schedulers have in common.
    pub fn get_node(&self) -> &NodeSettings {
        &self.node
    }

    /// Address of the listener for callers.
    pub fn get_callers(&self) -> SocketAddr {
        self.callers
    }

    /// Address at which a load balancer checks whether the process accepts callers.
    pub fn get_ready(&self) -> SocketAddr {
        self.ready
    }

    pub(super) fn node_mut(&mut self) -> &mut NodeSettings {
        &mut self.node
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
