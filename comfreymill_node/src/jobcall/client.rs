use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::link::{self, LinkConfig, PendingCall};
use super::{Call, Members, Reply, codec};

/// Pause between attempts of a call.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Maximum time for one attempt; a leader that serves answers within one disk sync and two trips
/// between regions.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// No leader answered a call in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallError {
    /// Whether a leader may have received the call.
    pub(crate) was_sent: bool,
}

/// Client for calls to the current leader.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    calls: flume::Sender<PendingCall>,
    members: Rc<RefCell<Members>>,
}

impl Client {
    /// Starts the task that maintains a connection to the leader.
    pub(crate) fn start(cfg: LinkConfig) -> Self {
        let (calls, rx) = flume::unbounded();
        let members = Rc::new(RefCell::new(Members::default()));
        monoio::spawn(link::run(cfg, rx, Rc::clone(&members)));
        Self { calls, members }
    }

    /// Returns whether a leader is known and connected.
    pub(crate) fn is_connected(&self) -> bool {
        self.members.borrow().leader.is_some()
    }

    /// Returns the last known leader and members of the group.
    pub(crate) fn members(&self) -> Members {
        self.members.borrow().clone()
    }

    /// Sends a call to the leader and retries until it is answered or `timeout` has elapsed.
    ///
    /// # Errors
    ///
    /// No leader answered in time.
    pub(crate) async fn call(&self, call: &Call, timeout: Duration) -> Result<Reply, CallError> {
        let body = codec::encode(call);
        let started_at = Instant::now();
        let mut was_sent = false;
        loop {
            let remaining = timeout.saturating_sub(started_at.elapsed());
            match self.attempt(body.clone(), remaining.min(ATTEMPT_TIMEOUT)).await {
                Ok(Reply::Unknown) => was_sent = true,
                Ok(Reply::NotLeader) => {}
                Ok(reply) => return Ok(reply),
                Err(error) => was_sent |= error.was_sent,
            }
            if started_at.elapsed() + RETRY_PAUSE >= timeout {
                return Err(CallError { was_sent });
            }
            monoio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn attempt(&self, body: Bytes, limit: Duration) -> Result<Reply, CallError> {
        let sent = Rc::new(std::cell::Cell::new(false));
        let (reply, rx) = flume::bounded(1);
        let pending = PendingCall { body, reply, sent: Rc::clone(&sent) };
        if self.calls.send(pending).is_err() {
            return Err(CallError { was_sent: false });
        }
        match monoio::time::timeout(limit, rx.recv_async()).await {
            Ok(Ok(reply)) => Ok(reply),
            _ => Err(CallError { was_sent: sent.get() }),
        }
    }
}
