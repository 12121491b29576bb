use std::time::Duration;

use bytes::Bytes;
use comfreymill_group::message;
use comfreymill_group::store;
use comfreymill_ledger::codec;
use comfreymill_types::error;

use crate::peer::{self, SessionId};
use crate::protocol;

/// Message to the core task.
#[derive(Debug)]
pub(in crate::control) enum Input {
    /// An entry opened a connection.
    Opened { session: SessionId, peer: Box<peer::Hello>, frames: flume::Sender<peer::Frame> },
    /// A connection was closed.
    Closed(SessionId),
    /// An entry sent a call.
    Call { session: SessionId, id: u64, call: protocol::Call },
    /// A voter sent a message of the group's protocol.
    Group { from: u64, message: message::Message },
    /// The store's thread completed a sync or failed.
    Store(store::Completion),
    /// Request for the status as JSON text.
    Status(flume::Sender<Bytes>),
    /// Readiness check: succeeds if the process is not stopping and a leader is known.
    Ready(flume::Sender<Result<(), error::Error>>),
    /// The process is stopping and must start to transfer leadership.
    Drain(flume::Sender<()>),
}

impl peer::Inbound for Input {
    const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

    fn opened(
        session: SessionId,
        peer: &peer::Hello,
        frames: flume::Sender<peer::Frame>,
    ) -> Option<Self> {
        let is_entry = peer.role() == peer::Role::Entry;
        is_entry.then(|| Self::Opened { session, peer: Box::new(peer.clone()), frames })
    }

    fn received(
        session: SessionId,
        peer: &peer::Hello,
        frame: &peer::Frame,
        _: &flume::Sender<peer::Frame>,
    ) -> Result<Self, peer::PeerError> {
        match (frame.kind(), peer.role()) {
            (peer::FrameKind::Call, peer::Role::Entry) => {
                let call = codec::decode(&frame.body);
                let call = call.map_err(|error| peer::PeerError::Malformed(error.to_string()))?;
                Ok(Self::Call { session, id: frame.id, call })
            }
            (peer::FrameKind::Group, peer::Role::Control) => {
                Ok(Self::Group { from: peer.replica, message: frame.to_group_message()? })
            }
            _ => Err(peer::PeerError::unexpected(frame)),
        }
    }

    fn closed(session: SessionId) -> Self {
        Self::Closed(session)
    }
}
