use std::collections::BTreeMap;

use comfreymill_ledger::codec;
use comfreymill_types::time;

use super::call_error;
use super::handle::Request;
use crate::metering::observe;
use crate::peer;
use crate::protocol;

/// Calls that have not been answered yet.
#[derive(Debug, Default)]
pub(super) struct Pending {
    next_id: u64,
    calls: BTreeMap<u64, PendingCall>,
}

#[derive(Debug)]
struct PendingCall {
    frame: peer::Frame,
    deadline: time::Monotonic,
    was_sent: bool,
    reply: flume::Sender<protocol::CallResult>,
}

impl Pending {
    /// Adds a call and returns its id.
    pub(super) fn add(&mut self, now: time::Monotonic, req: Request) -> u64 {
        self.next_id += 1;
        let id = self.next_id;
        let frame = peer::Frame::new(peer::FrameKind::Call, id, codec::encode(&req.call));
        let deadline = now + req.timeout;
        self.calls.insert(id, PendingCall { frame, deadline, was_sent: false, reply: req.reply });
        id
    }

    /// Returns the frame of a call and marks the call as sent.
    pub(super) fn take_frame(&mut self, id: u64) -> Option<peer::Frame> {
        let call = self.calls.get_mut(&id)?;
        call.was_sent = true;
        Some(call.frame.clone())
    }

    /// Returns the ids of all pending calls.
    pub(super) fn ids(&self) -> Vec<u64> {
        self.calls.keys().copied().collect()
    }

    /// Passes a reply to the sender of the call.
    pub(super) fn resolve(&mut self, id: u64, result: protocol::CallResult) {
        if let Some(call) = self.calls.remove(&id) {
            // The sender of the call may have stopped waiting.
            call.reply.send(result).ok();
        } else {
            observe::unmatched_answer();
        }
    }

    /// Fails the calls whose timeout has passed.
    pub(super) fn expire(&mut self, now: time::Monotonic) {
        for (_, call) in self.calls.extract_if(.., |_, call| call.deadline <= now) {
            call.reply.send(Err(call_error::timed_out(call.was_sent))).ok();
        }
    }
}
