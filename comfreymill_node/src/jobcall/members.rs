use std::net::Ipv4Addr;

/// Leader and members of the group, as known to one member.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct Members {
    /// Address of the leader, if one is known.
    pub(crate) leader: Option<Ipv4Addr>,
    /// Addresses of all members.
    pub(crate) all: Vec<Ipv4Addr>,
}
