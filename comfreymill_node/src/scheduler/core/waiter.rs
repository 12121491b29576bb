use bytes::Bytes;
use comfreymill_types::time;

use crate::jobcall;
use crate::peer;

/// Where a reply goes.
#[derive(Clone, Debug)]
pub(super) enum ReplyTo {
    /// To another process.
    Session { id: u64, frames: flume::Sender<peer::Frame> },
    /// To a listener of this process.
    Local(flume::Sender<jobcall::Reply>),
}

/// Caller that waits for a command of its own.
#[derive(Clone, Debug)]
pub(super) struct Waiter {
    /// Position of its command within the entry.
    pub(super) position: usize,
    /// Where the reply goes.
    pub(super) reply: ReplyTo,
    /// Reply once the command is committed and has changed what it could.
    pub(super) done: jobcall::Reply,
}

/// Those who wait for an entry of the log.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    /// Callers, in the order of their commands.
    pub(super) callers: Vec<Waiter>,
    /// When the entry was proposed.
    pub(super) proposed_at: time::Monotonic,
}

impl ReplyTo {
    /// Sends the reply; a caller that is gone doesn't get it.
    pub(super) fn send(&self, reply: &jobcall::Reply) {
        match self {
            Self::Session { id, frames, .. } => {
                let body: Bytes = jobcall::encode(reply);
                // A caller whose queue is full asks again.
                frames.try_send(peer::Frame::new(peer::FrameKind::Reply, *id, body)).ok();
            }
            Self::Local(reply_to) => {
                reply_to.send(reply.clone()).ok();
            }
        }
    }
}
