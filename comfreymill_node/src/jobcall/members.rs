use std::net::Ipv4Addr;

/// Leader and members of the group, as known to one member.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Members {
    /// Address of the leader, if one is known.
    pub leader: Option<Ipv4Addr>,
    /// Addresses of all members.
    pub all: Vec<Ipv4Addr>,
}
