use std::collections::BTreeMap;

use crate::jobcall;
use crate::peer;

/// Connected processes that call the leader, and what they were last told about the group.
#[derive(Debug, Default)]
pub(super) struct Sessions {
    /// Queues of frames to send, by connection.
    frames: BTreeMap<peer::SessionId, flume::Sender<peer::Frame>>,
    /// Leader and members that the connected processes were last informed of.
    members: jobcall::Members,
}

impl Sessions {
    /// Adds a connection and informs its process of the leader and the members.
    pub(super) fn open(&mut self, session: peer::SessionId, frames: flume::Sender<peer::Frame>) {
        frames.try_send(members_frame(&self.members)).ok();
        self.frames.insert(session, frames);
    }

    /// Removes a connection that has ended.
    pub(super) fn close(&mut self, session: peer::SessionId) {
        self.frames.remove(&session);
    }

    /// Informs all connected processes if the leader or the members have changed; returns whether
    /// they have.
    pub(super) fn publish(&mut self, members: jobcall::Members) -> bool {
        if members == self.members {
            return false;
        }
        self.members = members;
        let frame = members_frame(&self.members);
        for frames in self.frames.values() {
            frames.try_send(frame.clone()).ok();
        }
        true
    }

    /// Returns the leader and the members that the connected processes were last informed of.
    pub(super) fn get_members(&self) -> &jobcall::Members {
        &self.members
    }
}

fn members_frame(members: &jobcall::Members) -> peer::Frame {
    peer::Frame::new(peer::FrameKind::Push, 0, jobcall::encode(members))
}
