use std::net;

use comfreymill_types::yaml;

use super::{Regions, Voter};

/// Regions and voters of the cluster, and the listeners of this process for peers and operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Network {
    regions: Regions,
    voters: Vec<Voter>,
    peers: net::SocketAddr,
    operators: net::SocketAddr,
}

impl Network {
    /// Creates a network without regions and voters.
    pub fn new(peers: net::SocketAddr, operators: net::SocketAddr) -> Self {
        Self { regions: Regions::new(), voters: Vec::new(), peers, operators }
    }

    /// Availability zones by region.
    pub fn get_regions(&self) -> &Regions {
        &self.regions
    }

    /// Voters of the group.
    pub fn get_voters(&self) -> &[Voter] {
        &self.voters
    }

    /// Address of the listener for peers.
    pub fn get_peers(&self) -> net::SocketAddr {
        self.peers
    }

    /// Address of the listener for operators.
    pub fn get_operators(&self) -> net::SocketAddr {
        self.operators
    }

    /// Sets the availability zones by region.
    #[must_use]
    pub fn regions(mut self, regions: Regions) -> Self {
        self.regions = regions;
        self
    }

    /// Adds a voter of the group.
    #[must_use]
    pub fn voter(mut self, voter: Voter) -> Self {
        self.voters.push(voter);
        self
    }

    pub(super) fn read(section: &yaml::Section<'_>, listeners: &yaml::Section<'_>) -> Option<Self> {
        let peers = listeners.required("peers");
        let operators = listeners.required("operators");
        let regions = read_regions(section);
        let voters = read_voters(section, &regions);
        Some(Self { regions, voters, peers: peers?, operators: operators? })
    }
}

fn read_regions(section: &yaml::Section<'_>) -> Regions {
    let lists = section.lists("regions");
    let regions = lists
        .into_iter()
        .fold(Regions::new(), |regions, (name, zones)| regions.region(name, zones));
    for zone in regions.get_duplicate_zones() {
        section.problem("regions", format!("availability zone `{zone}` is listed twice"));
    }
    regions
}

fn read_voters(section: &yaml::Section<'_>, regions: &Regions) -> Vec<Voter> {
    let items = section.sections("voters");
    let mut voters: Vec<Voter> = Vec::new();
    for item in &items {
        let Some(voter) = Voter::read(item) else { continue };
        if regions.get_region(&voter.zone).is_none() {
            item.problem("zone", format!("`{}` is in no region", voter.zone));
        }
        if voters.iter().any(|other| other.name == voter.name) {
            item.problem("name", format!("`{}` is listed twice", voter.name));
        }
        if voters.iter().any(|other| other.peers == voter.peers && other.peers.port() != 0) {
            item.problem("peers", format!("`{}` is listed twice", voter.peers));
        }
        voters.push(voter);
    }
    let count = items.len() - voters.iter().filter(|voter: &&Voter| voter.spare).count();
    if count.is_multiple_of(2) {
        section.problem("voters", format!("{count} voters: write an odd number, as 1, 3 or 5"));
    }
    voters
}
