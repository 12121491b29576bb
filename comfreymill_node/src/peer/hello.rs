use bytes::Bytes;

use super::ClusterKey;

/// First message of each side of a connection, which identifies the sender.
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
    /// Role of the process.
    #[prost(enumeration = "Role", tag = "4")]
    pub role: i32,
    /// Incarnation of the process; greater after each restart.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// Region of the process.
    #[prost(string, tag = "6")]
    pub region: String,
    /// Availability zone of the process.
    #[prost(string, tag = "7")]
    pub zone: String,
    /// Replica id of a voter; zero for an entry.
    #[prost(uint64, tag = "8")]
    pub replica: u64,
    /// Random bytes, drawn anew for each connection.
    #[prost(bytes = "bytes", tag = "9")]
    pub nonce: Bytes,
}

/// Role of a process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum Role {
    /// Serves callers, upstreams and operators.
    Entry = 0,
    /// Holds a replica of a group.
    Control = 1,
}

/// Identity that this process presents to its peers.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Hello of this process; the nonce is set for each connection.
    pub hello: Hello,
    /// Cluster key.
    pub key: ClusterKey,
}

impl Hello {
    /// Protocol version of this build.
    pub const VERSION: u32 = 1;
}
