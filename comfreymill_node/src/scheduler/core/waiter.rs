use bytes::Bytes;
use comfreymill_types::time;

use crate::jobcall;
use crate::peer;

/// Destination of a reply.
#[derive(Clone, Debug)]
pub(in crate::scheduler) enum ReplyTo {
    /// Another process, over its session.
    Session { id: u64, frames: flume::Sender<peer::Frame> },
    /// A listener of this process.
    Local(flume::Sender<jobcall::Reply>),
}

/// Caller that waits until its command is committed.
#[derive(Clone, Debug)]
pub(super) struct Waiter {
    /// Position of the command within the log entry.
    pub(super) position: usize,
    /// Destination of the reply.
    pub(super) reply: ReplyTo,
    /// Reply to send once the command is committed and applied.
    pub(super) done: jobcall::Reply,
}

/// Callers that wait for a proposed log entry.
#[derive(Debug, Default)]
pub(super) struct PendingEntry {
    /// Waiting callers, in the order of their commands.
    pub(super) waiters: Vec<Waiter>,
    /// When the entry was proposed.
    pub(super) proposed_at: time::Monotonic,
}

impl ReplyTo {
    /// Sends the reply; it is dropped if the caller is gone.
    pub(super) fn send(&self, reply: &jobcall::Reply) {
        match self {
            Self::Session { id, frames, .. } => {
                let body: Bytes = jobcall::encode(reply);
                // The reply is dropped if the queue is full; the caller sends its call again.
                frames.try_send(peer::Frame::new(peer::FrameKind::Reply, *id, body)).ok();
            }
            Self::Local(reply_to) => {
                reply_to.send(reply.clone()).ok();
            }
        }
    }
}
