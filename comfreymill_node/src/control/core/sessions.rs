use std::cell::Cell;
use std::collections::BTreeMap;

use bytes::Bytes;
use comfreymill_ledger::codec;
use comfreymill_ledger::request;
use comfreymill_types::id;

use crate::peer;
use crate::peer::SessionId;
use crate::protocol;

/// Open connections from entries.
#[derive(Debug, Default)]
pub(super) struct Sessions {
    sessions: BTreeMap<SessionId, Session>,
}

/// Connection from one entry, with the state that was pushed to it.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) owner: request::Owner,
    pub(super) region: id::RegionName,
    pub(super) zone: id::ZoneName,
    pub(super) frames: flume::Sender<peer::Frame>,
    /// Whether the entry has sent a call and therefore knows that this process is the leader.
    pub(super) has_called: bool,
    /// Revision of the documents last sent to the entry.
    pub(super) sent_revision: Option<u64>,
    pub(super) is_full_table_sent: bool,
    /// Executor rows last sent to the entry.
    pub(super) sent_rows: BTreeMap<id::ExecutorName, protocol::ExecutorRow>,
    /// Whether a frame was dropped, so that the entry lacks state that is recorded as sent.
    is_stalled: Cell<bool>,
}

impl Sessions {
    /// Adds a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if a name in the hello is invalid.
    pub(super) fn open(
        &mut self,
        id: SessionId,
        peer: &peer::Hello,
        frames: flume::Sender<peer::Frame>,
    ) -> Result<(), id::ParseIdError> {
        let owner = request::Owner {
            entry: peer.name.parse()?,
            incarnation: id::Incarnation::new(peer.incarnation),
        };
        let session = Session {
            owner,
            region: peer.region.parse()?,
            zone: peer.zone.parse()?,
            frames,
            has_called: false,
            sent_revision: None,
            is_full_table_sent: false,
            sent_rows: BTreeMap::new(),
            is_stalled: Cell::new(false),
        };
        self.sessions.insert(id, session);
        Ok(())
    }

    /// Removes a closed connection.
    pub(super) fn close(&mut self, id: SessionId) {
        self.sessions.remove(&id);
    }

    /// Returns an open connection.
    pub(super) fn get(&self, id: SessionId) -> Option<&Session> {
        self.sessions.get(&id)
    }

    /// Returns an open connection for changes.
    pub(super) fn get_mut(&mut self, id: SessionId) -> Option<&mut Session> {
        self.sessions.get_mut(&id)
    }

    /// Iterates over all open connections.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Session> {
        self.sessions.values_mut()
    }

    /// Sends a reply to a call, unless the connection was closed in the meantime.
    pub(super) fn reply(&self, id: SessionId, call: u64, result: &protocol::CallResult) {
        if let Some(session) = self.sessions.get(&id) {
            session.send(peer::FrameKind::Reply, call, codec::encode(result));
        }
    }

    /// Removes connections that dropped a frame; their entries receive nothing more and reconnect.
    pub(super) fn remove_stalled(&mut self) {
        self.sessions.retain(|_, session| !session.is_stalled.get());
    }

    /// Clears the record of sent state when this replica becomes the leader, so that everything is
    /// sent again.
    pub(super) fn clear_sent(&mut self) {
        for session in self.sessions.values_mut() {
            session.has_called = false;
            session.sent_revision = None;
            session.is_full_table_sent = false;
            session.sent_rows.clear();
        }
    }
}

impl Session {
    /// Queues a frame, or marks the connection as stalled if its queue is full or closed.
    pub(super) fn send(&self, kind: peer::FrameKind, id: u64, body: Bytes) {
        if self.frames.try_send(peer::Frame::new(kind, id, body)).is_err() {
            log::warn!(
                target: "peer",
                "Queue of frames to entry {} is full or closed.",
                self.owner
            );
            self.is_stalled.set(true);
        }
    }
}
