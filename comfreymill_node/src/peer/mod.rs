//! Connections between the system's own processes: framed prost messages after a handshake.
//!
//! Each side proves that it holds the cluster's key by a MAC over both sides' hellos, and refuses
//! a foreign cluster or another protocol version before any other frame is read.

mod cluster_key;
mod connection;
mod frame;
mod handshake;
mod hello;
mod peer_error;
mod traffic;

pub use cluster_key::ClusterKey;
pub use connection::{Connection, FrameReader, FrameWriter};
pub use frame::{Frame, FrameKind};
pub use hello::{Hello, Identity, Role};
pub use peer_error::PeerError;
