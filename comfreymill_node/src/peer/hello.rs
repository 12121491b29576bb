use bytes::Bytes;

use super::ClusterKey;

/// First message of each side of a connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Version of the protocol.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Name of the cluster.
    #[prost(string, tag = "2")]
    pub cluster: String,
    /// Name of the process.
    #[prost(string, tag = "3")]
    pub name: String,
    /// What the process is.
    #[prost(enumeration = "Role", tag = "4")]
    pub role: i32,
    /// Life of the process.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// Region of the process.
    #[prost(string, tag = "6")]
    pub region: String,
    /// Availability zone of the process.
    #[prost(string, tag = "7")]
    pub zone: String,
    /// Replica identity of a voter; zero for an entry.
    #[prost(uint64, tag = "8")]
    pub replica: u64,
    /// Random bytes, new for each connection.
    #[prost(bytes = "bytes", tag = "9")]
    pub nonce: Bytes,
}

/// What a process is.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum Role {
    /// Serves callers, upstreams and operators.
    Entry = 0,
    /// Holds a replica of a group.
    Control = 1,
}

/// Who this process is towards its peers.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Hello without its nonce.
    pub hello: Hello,
    /// Key of the cluster.
    pub key: ClusterKey,
}

impl Hello {
    /// Version of the protocol that this build speaks.
    pub const VERSION: u32 = 1;
}
