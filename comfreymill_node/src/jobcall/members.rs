use std::net::Ipv4Addr;

/// Who takes part in the group, as a process that takes part sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct Members {
    /// Address of the leader, if there is one.
    pub(crate) leader: Option<Ipv4Addr>,
    /// Addresses of all members.
    pub(crate) all: Vec<Ipv4Addr>,
}
