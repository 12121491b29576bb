use std::net;

use comfreymill_types::id;
use comfreymill_types::yaml;

/// Control process that is a voter of the group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Voter {
    /// Name of the process.
    pub name: id::VoterName,
    /// Address of its listener for peers.
    pub peers: net::SocketAddr,
    /// Availability zone.
    pub zone: id::ZoneName,
    /// Whether it is not one of the initial voters: with an empty data folder it waits to be added
    /// to the group.
    pub spare: bool,
}

impl Voter {
    pub(super) fn read(section: &yaml::Section<'_>) -> Option<Self> {
        let name = section.required("name");
        let peers = section.required("peers");
        let zone = section.required("zone");
        let spare = section.optional("spare").unwrap_or_default();
        section.finish();
        Some(Self { name: name?, peers: peers?, zone: zone?, spare })
    }
}
