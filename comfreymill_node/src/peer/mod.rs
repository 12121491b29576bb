//! Connections between comfreymill processes: a handshake, then length-delimited prost messages.
//!
//! Each side proves that it holds the cluster key by a MAC over the hellos of both sides, and refuses
//! a peer of another cluster or protocol version before it reads any other frame.

mod cluster_key;
mod connection;
mod frame;
mod handshake;
mod hello;
mod inbound;
mod link;
mod listener;
mod peer_error;
mod session_id;
mod traffic;

pub use cluster_key::ClusterKey;
pub use connection::{Connection, FrameReader, FrameWriter};
pub use frame::{Frame, FrameKind};
pub use hello::{Hello, Identity, Role};
pub(crate) use inbound::Inbound;
pub(crate) use link::MAX_QUEUED_MESSAGES;
pub use link::link;
pub(crate) use listener::listen;
pub use peer_error::PeerError;
pub(crate) use session_id::SessionId;
