use std::time::Duration;

use bytes::Bytes;
use comfreymill_group::id;
use comfreymill_group::message;
use comfreymill_group::store;
use comfreymill_jobs::id::ZoneName;
use comfreymill_types::error;

use super::waiter::ReplyTo;
use crate::jobcall;
use crate::peer::{self, SessionId};
use crate::scheduler::orders::OrderResult;
use crate::scheduler::turns;

/// Input of the core.
#[derive(Debug)]
pub(in crate::scheduler) enum Input {
    /// A gateway or another process that calls the leader has connected.
    Opened { session: SessionId, frames: flume::Sender<peer::Frame> },
    /// A connection has ended.
    Closed(SessionId),
    /// Call from another process, or from a listener of this one.
    Call { call: jobcall::Call, reply: ReplyTo },
    /// Message of the replication protocol from another member.
    Group { from: id::VoterId, message: message::Message },
    /// The store thread of the replica `member` has synced its writes or has failed.
    Store { member: id::VoterId, completion: store::Completion },
    /// Result of an order to a worker.
    OrderResult(Box<OrderResult>),
    /// Request for the status as JSON text.
    Status(flume::Sender<Bytes>),
    /// Request for the reason of a job's state as JSON text.
    Explain { key: String, reply: flume::Sender<Result<Bytes, error::Error>> },
    /// Request for the revision of a zone's record in this process's replica.
    ZoneRevision { zone: ZoneName, reply: flume::Sender<u64> },
    /// The process is stopping and must hand over the leadership.
    Drain(flume::Sender<()>),
}

impl Input {
    /// Returns the kind of the input, by which the loop decides when to handle it.
    pub(super) fn kind(&self) -> turns::Kind {
        match self {
            Self::Opened { .. }
            | Self::Closed(_)
            | Self::Group { .. }
            | Self::Store { .. }
            | Self::Drain(_) => turns::Kind::Agreement,
            Self::Call { call, .. } => call_kind(call),
            Self::ZoneRevision { .. } => turns::Kind::Departure,
            Self::OrderResult(_) => turns::Kind::Report,
            Self::Status(_) | Self::Explain { .. } => turns::Kind::Operator,
        }
    }
}

fn call_kind(call: &jobcall::Call) -> turns::Kind {
    match call {
        jobcall::Call::Cancel { .. }
        | jobcall::Call::Depart(_)
        | jobcall::Call::Evacuate(_)
        | jobcall::Call::WithdrawEvacuation(_) => turns::Kind::Departure,
        jobcall::Call::Announce(announcement) if announcement.leaving_in.is_some() => {
            turns::Kind::Departure
        }
        jobcall::Call::Announce(_) => turns::Kind::Announcement,
        jobcall::Call::Submit { .. } | jobcall::Call::Show { .. } => turns::Kind::Caller,
        jobcall::Call::PutRoutes { .. }
        | jobcall::Call::GetRoutes
        | jobcall::Call::ShowEvacuations => turns::Kind::Operator,
    }
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
        _: SessionId,
        peer: &peer::Hello,
        frame: &peer::Frame,
        frames: &flume::Sender<peer::Frame>,
    ) -> Result<Self, peer::PeerError> {
        match (frame.kind(), peer.role()) {
            (peer::FrameKind::Call, _) => {
                let call = jobcall::decode(&frame.body);
                let call = call.map_err(|error| peer::PeerError::Malformed(error.to_string()))?;
                let reply = ReplyTo::Session { id: frame.id, frames: frames.clone() };
                Ok(Self::Call { call, reply })
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
