use std::net::{Ipv4Addr, SocketAddr};
use std::path;

use bytes::Bytes;
use comfreymill_types::yaml;

use super::{LogFormat, LogSettings};
use crate::jobcall;
use crate::peer;
use crate::runtime;

const CLUSTER: &str = "comfreymill";

/// Settings that gateways and schedulers have in common.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    name: String,
    zone: String,
    region: String,
    address: Ipv4Addr,
    peers_port: u16,
    seeds: Vec<Ipv4Addr>,
    key: String,
    log: LogSettings,
    metrics: Option<SocketAddr>,
    file: Option<path::PathBuf>,
}

impl NodeSettings {
    /// Name of the process.
    pub fn get_name(&self) -> &str {
        &self.name
    }

    /// IPv4 address of the machine.
    pub fn get_address(&self) -> Ipv4Addr {
        self.address
    }

    /// Port on which every scheduler listens for other processes; the same on every machine.
    pub fn get_peers_port(&self) -> u16 {
        self.peers_port
    }

    /// Addresses of the machines whose schedulers the process contacts first.
    pub fn get_seeds(&self) -> &[Ipv4Addr] {
        &self.seeds
    }

    /// Address at which metrics and status are served, if any.
    pub fn get_metrics(&self) -> Option<SocketAddr> {
        self.metrics
    }

    /// File that the settings were loaded from, if any.
    pub fn get_file(&self) -> Option<&path::Path> {
        self.file.as_deref()
    }

    /// Sets the file that the settings were loaded from.
    pub(super) fn set_file(&mut self, file: &path::Path) {
        self.file = Some(file.to_owned());
    }

    /// Log settings.
    pub fn get_log(&self) -> &LogSettings {
        &self.log
    }

    /// Returns the identity that the process presents to its peers.
    pub(crate) fn identity(&self, role: peer::Role, replica: u64) -> peer::Identity {
        let hello = peer::Hello {
            version: peer::Hello::VERSION,
            cluster: CLUSTER.to_owned(),
            name: self.name.clone(),
            role: role.into(),
            incarnation: runtime::incarnation().get(),
            region: self.region.clone(),
            zone: self.zone.clone(),
            replica,
            nonce: Bytes::new(),
        };
        let key = peer::ClusterKey::new(Bytes::copy_from_slice(self.key.as_bytes()));
        peer::Identity { hello, key }
    }

    /// Returns the configuration of the link to the leader.
    pub(crate) fn link(&self, role: peer::Role) -> jobcall::LinkConfig {
        jobcall::LinkConfig {
            identity: self.identity(role, 0),
            seeds: self.seeds.clone(),
            peers_port: self.peers_port,
        }
    }

    pub(super) fn read(section: &yaml::Section<'_>) -> Option<Self> {
        let name = section.required("name");
        let zone = section.required("zone");
        let region = section.required("region");
        let address = section.required("address");
        let peers_port = section.required("peers_port");
        let seeds: Option<SeedList> = section.required("seeds");
        let metrics = section.optional("metrics");
        let key: Option<String> = section.required("key");
        let log = section.section("log");
        let default = LogSettings::default().format(LogFormat::Events);
        let log = log.map_or(default, |log| LogSettings::read(&log, path::Path::new("")));
        if key.as_ref().is_some_and(|key| key.len() < peer::ClusterKey::MIN_BYTES) {
            section.problem("key", format!("write at least {} bytes", peer::ClusterKey::MIN_BYTES));
        }
        Some(Self {
            name: name?,
            zone: zone?,
            region: region?,
            address: address?,
            peers_port: peers_port?,
            seeds: seeds?.0,
            key: key?,
            log,
            metrics,
            file: None,
        })
    }
}

/// Addresses separated by commas; an address may have a port, which is ignored.
struct SeedList(Vec<Ipv4Addr>);

impl std::str::FromStr for SeedList {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        let seeds = items.map(|item| {
            let with_port = item.parse().ok().and_then(|address: SocketAddr| match address {
                SocketAddr::V4(address) => Some(*address.ip()),
                SocketAddr::V6(_) => None,
            });
            let address = with_port.or_else(|| item.parse().ok());
            address
                .ok_or_else(|| format!("`{item}` is not an IPv4 address, with or without a port"))
        });
        seeds.collect::<Result<_, _>>().map(Self)
    }
}
