use std::time::Duration;

use comfreymill_types::error;

use crate::protocol;

/// Sender of calls to the group's leader.
#[derive(Clone, Debug)]
pub struct Link {
    pub(super) tx: flume::Sender<Request>,
}

/// Call with the place for its reply.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) call: protocol::Call,
    pub(super) limit: Duration,
    pub(super) reply: flume::Sender<protocol::CallResult>,
}

impl Link {
    /// Calls the leader, over several connections if need be, for at most `limit`.
    ///
    /// # Errors
    ///
    /// The leader's refusal; `no-leader` if the call was never sent; `commit-unknown` if it was.
    pub async fn call(&self, call: protocol::Call, limit: Duration) -> protocol::CallResult {
        let (reply, rx) = flume::bounded(1);
        let stopped = || error::Error::new(error::ErrorKind::Draining, "the process is stopping");
        self.tx.send(Request { call, limit, reply }).map_err(|_| stopped())?;
        rx.recv_async().await.map_err(|_| stopped())?
    }
}
