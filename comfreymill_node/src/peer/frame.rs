use bytes::Bytes;
use comfreymill_group::message;

use super::PeerError;

/// Message unit of the protocol between processes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Kind of the message in the body.
    #[prost(enumeration = "FrameKind", tag = "1")]
    pub kind: i32,
    /// Number that matches a reply to its call.
    #[prost(uint64, tag = "2")]
    pub id: u64,
    /// Encoded message.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
}

/// Kind of the message in the body of a frame.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum FrameKind {
    /// Keep-alive without a body.
    Alive = 0,
    /// First frame of each side: its [`Hello`](super::Hello).
    Hello = 1,
    /// MAC over both hellos.
    Proof = 2,
    /// Request that expects a reply.
    Call = 3,
    /// Reply to a call.
    Reply = 4,
    /// State that the leader sends without a request.
    Push = 5,
    /// Message of the consensus protocol.
    Group = 6,
}

impl Frame {
    /// Creates a frame of `kind`.
    pub fn new(kind: FrameKind, id: u64, body: Bytes) -> Self {
        Self { kind: kind.into(), id, body }
    }

    /// Creates a keep-alive frame.
    pub fn keep_alive() -> Self {
        Self::new(FrameKind::Alive, 0, Bytes::new())
    }

    /// Creates a frame with a message of the consensus protocol.
    pub(crate) fn group(message: &message::Message) -> Self {
        Self::new(FrameKind::Group, 0, message.to_bytes())
    }

    /// Decodes the message of the consensus protocol in the body.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed.
    pub(crate) fn to_group_message(&self) -> Result<message::Message, PeerError> {
        let message = message::Message::from_bytes(self.body.clone());
        message.map_err(|error| PeerError::Malformed(error.to_string()))
    }
}
