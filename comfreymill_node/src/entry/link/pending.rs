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
    calls: BTreeMap<u64, Waiting>,
}

#[derive(Debug)]
struct Waiting {
    frame: peer::Frame,
    until: time::Monotonic,
    was_sent: bool,
    reply: flume::Sender<protocol::CallResult>,
}

impl Pending {
    /// Adds a call and returns its id.
    pub(super) fn add(&mut self, now: time::Monotonic, req: Request) -> u64 {
        self.next_id += 1;
        let id = self.next_id;
        let frame = peer::Frame::new(peer::FrameKind::Call, id, codec::encode(&req.call));
        let until = now + req.limit;
        self.calls.insert(id, Waiting { frame, until, was_sent: false, reply: req.reply });
        id
    }

    /// Returns the frame of a call and marks the call as sent.
    pub(super) fn take_frame(&mut self, id: u64) -> Option<peer::Frame> {
        let waiting = self.calls.get_mut(&id)?;
        waiting.was_sent = true;
        Some(waiting.frame.clone())
    }

    /// Returns the ids of all pending calls.
    pub(super) fn ids(&self) -> Vec<u64> {
        self.calls.keys().copied().collect()
    }

    /// Passes a reply to the sender of the call.
    pub(super) fn resolve(&mut self, id: u64, result: protocol::CallResult) {
        if let Some(waiting) = self.calls.remove(&id) {
            // The sender of the call may have stopped waiting.
            waiting.reply.send(result).ok();
        } else {
            observe::unmatched_answer();
        }
    }

    /// Fails the calls whose timeout has passed.
    pub(super) fn expire(&mut self, now: time::Monotonic) {
        for (_, waiting) in self.calls.extract_if(.., |_, waiting| waiting.until <= now) {
            waiting.reply.send(Err(call_error::timed_out(waiting.was_sent))).ok();
        }
    }
}
