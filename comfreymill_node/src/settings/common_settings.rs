use std::net;
use std::path;

use comfreymill_types::id;
use comfreymill_types::yaml;

use super::{Limits, LogSettings, Network, Timing};

/// Settings that every process has.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommonSettings {
    cluster: id::ClusterName,
    zone: id::ZoneName,
    network: Network,
    key_file: path::PathBuf,
    operators_token_file: path::PathBuf,
    limits: Limits,
    timing: Timing,
    log: LogSettings,
}

impl CommonSettings {
    /// Settings of a process of `cluster` in `zone`, with its place among the others, the file of
    /// the cluster's key and the file of the operators' token.
    pub fn new(
        cluster: id::ClusterName,
        zone: id::ZoneName,
        network: Network,
        key_file: path::PathBuf,
        operators_token_file: path::PathBuf,
    ) -> Self {
        Self {
            cluster,
            zone,
            network,
            key_file,
            operators_token_file,
            limits: Limits::default(),
            timing: Timing::default(),
            log: LogSettings::default(),
        }
    }

    /// Name of the cluster.
    pub fn get_cluster(&self) -> &id::ClusterName {
        &self.cluster
    }

    /// Availability zone of the process.
    pub fn get_zone(&self) -> &id::ZoneName {
        &self.zone
    }

    /// Place of the process among the others.
    pub fn get_network(&self) -> &Network {
        &self.network
    }

    /// File with the key of the cluster.
    pub fn get_key_file(&self) -> &path::Path {
        &self.key_file
    }

    /// File with the token that operators present.
    pub fn get_operators_token_file(&self) -> &path::Path {
        &self.operators_token_file
    }

    /// Bounds on what a stranger may use.
    pub fn get_limits(&self) -> &Limits {
        &self.limits
    }

    /// Durations of the protocols.
    pub fn get_timing(&self) -> &Timing {
        &self.timing
    }

    /// What is logged.
    pub fn get_log(&self) -> &LogSettings {
        &self.log
    }

    /// Sets the bounds on what a stranger may use.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the durations of the protocols.
    #[must_use]
    pub fn timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Sets what is logged.
    #[must_use]
    pub fn log(mut self, log: LogSettings) -> Self {
        self.log = log;
        self
    }

    pub(super) fn read(
        section: &yaml::Section<'_>,
        listeners: &yaml::Section<'_>,
        tokens: &yaml::Section<'_>,
        folder: &path::Path,
    ) -> Option<Self> {
        let cluster = section.required("cluster");
        let zone: Option<id::ZoneName> = section.required("zone");
        let network = Network::read(section, listeners);
        let key_file: Option<path::PathBuf> = section.required("key_file");
        let token_file: Option<path::PathBuf> = tokens.required("operators");
        let limits = section.section("limits").map(|limits| Limits::read(&limits));
        let timing = section.section("timing").map(|timing| Timing::read(&timing));
        let log = section.section("log").map(|log| LogSettings::read(&log, folder));
        if let (Some(zone), Some(network)) = (&zone, &network)
            && network.get_regions().get_region(zone).is_none()
        {
            section.problem("zone", format!("`{zone}` is in no region"));
        }
        Some(Self {
            cluster: cluster?,
            zone: zone?,
            network: network?,
            key_file: folder.join(key_file?),
            operators_token_file: folder.join(token_file?),
            limits: limits.unwrap_or_default(),
            timing: timing.unwrap_or_default(),
            log: log.unwrap_or_default(),
        })
    }
}

/// Reports each address that an earlier listener has.
pub(super) fn check_doubled(
    listeners: &yaml::Section<'_>,
    addresses: &[(&'static str, net::SocketAddr)],
) {
    for (i, (key, address)) in addresses.iter().enumerate() {
        let earlier = addresses[..i].iter().find(|(_, other)| collide(*address, *other));
        if let Some((other, _)) = earlier {
            listeners.problem(key, format!("`{address}` is also the address of `{other}`"));
        }
    }
}

fn collide(a: net::SocketAddr, b: net::SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && a.port() != 0 && same_ip
}
