use std::net;
use std::path;

use comfreymill_types::id;
use comfreymill_types::yaml;

use super::{Limits, LogSettings, Network, Timing};

/// Settings that entry and control processes have in common.
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
    /// Creates the settings of a process of `cluster` in `zone` from its network, the file with
    /// the cluster key and the file with the operators' token, with defaults for the rest.
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

    /// Regions, voters and listeners of the process.
    pub fn get_network(&self) -> &Network {
        &self.network
    }

    /// File with the cluster key.
    pub fn get_key_file(&self) -> &path::Path {
        &self.key_file
    }

    /// File with the token that operators present.
    pub fn get_operators_token_file(&self) -> &path::Path {
        &self.operators_token_file
    }

    /// Limits on what clients may use of the process.
    pub fn get_limits(&self) -> &Limits {
        &self.limits
    }

    /// Durations of the protocols between processes.
    pub fn get_timing(&self) -> &Timing {
        &self.timing
    }

    /// Log settings.
    pub fn get_log(&self) -> &LogSettings {
        &self.log
    }

    /// Sets the limits on what clients may use of the process.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the durations of the protocols between processes.
    #[must_use]
    pub fn timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Sets the log settings.
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

/// Reports each listener whose address collides with that of an earlier listener.
pub(super) fn check_duplicate_addresses(
    listeners: &yaml::Section<'_>,
    addresses: &[(&'static str, net::SocketAddr)],
) {
    for (i, (key, address)) in addresses.iter().enumerate() {
        let earlier = addresses[..i].iter().find(|(_, other)| addresses_collide(*address, *other));
        if let Some((other, _)) = earlier {
            listeners.problem(key, format!("`{address}` is also the address of `{other}`"));
        }
    }
}

/// Whether both addresses cannot be bound at once; port 0 never collides.
fn addresses_collide(a: net::SocketAddr, b: net::SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && a.port() != 0 && same_ip
}
