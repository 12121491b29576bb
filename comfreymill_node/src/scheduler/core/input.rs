use std::time::Duration;

use bytes::Bytes;
use comfreymill_group::id;
use comfreymill_group::message;
use comfreymill_group::store;

use crate::jobcall;
use crate::peer::{self, SessionId};
use crate::scheduler::courier::Delivered;

/// Message to the core.
#[derive(Debug)]
pub(in crate::scheduler) enum Input {
    /// A process that calls the leader has connected.
    Opened { session: SessionId, frames: flume::Sender<peer::Frame> },
    /// A connection has ended.
    Closed(SessionId),
    /// Another process calls.
    Call { session: SessionId, id: u64, call: jobcall::Call },
    /// A listener of this process calls.
    Ask { call: jobcall::Call, reply: flume::Sender<jobcall::Reply> },
    /// A member sent a message of the group's protocol.
    Group { from: id::VoterId, message: message::Message },
    /// The store's thread synced or failed.
    Store(store::Completion),
    /// An order was carried out, or not.
    Delivered(Box<Delivered>),
    /// Somebody asks for the status as JSON text.
    Show(flume::Sender<Bytes>),
    /// The process is stopping: hand the leadership over.
    Drain(flume::Sender<()>),
}

impl peer::Inbound for Input {
    const IDLE_TIMEOUT: Duration = Duration::from_secs(8);

    fn opened(
        session: SessionId,
        peer: &peer::Hello,
        frames: flume::Sender<peer::Frame>,
    ) -> Option<Self> {
        (peer.role() == peer::Role::Entry).then_some(Self::Opened { session, frames })
    }

    fn received(
        session: SessionId,
        peer: &peer::Hello,
        frame: &peer::Frame,
    ) -> Result<Self, peer::PeerError> {
        match (frame.kind(), peer.role()) {
            (peer::FrameKind::Call, _) => {
                let call = jobcall::decode(&frame.body);
                let call = call.map_err(|error| peer::PeerError::Malformed(error.to_string()))?;
                Ok(Self::Call { session, id: frame.id, call })
            }
            (peer::FrameKind::Group, peer::Role::Control) => {
                let from = id::VoterId::new(peer.replica);
                Ok(Self::Group { from, message: frame.to_group_message()? })
            }
            _ => Err(peer::PeerError::unexpected(frame)),
        }
    }

    fn closed(session: SessionId) -> Self {
        Self::Closed(session)
    }
}
