use std::time::Duration;

use comfreymill_types::error;

use crate::protocol;

/// Cloneable handle to the link, which sends calls to the group's leader.
#[derive(Clone, Debug)]
pub struct Link {
    pub(super) tx: flume::Sender<Request>,
}

/// Call with its timeout and the channel for its reply.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) call: protocol::Call,
    pub(super) timeout: Duration,
    pub(super) reply: flume::Sender<protocol::CallResult>,
}

impl Link {
    /// Calls the leader, retrying over new connections for at most `timeout`.
    ///
    /// # Errors
    ///
    /// The error that the leader returned; on a timeout, `no-leader` if the call was never sent and
    /// `commit-unknown` if it was; `draining` if the process is stopping.
    pub async fn call(&self, call: protocol::Call, timeout: Duration) -> protocol::CallResult {
        let (reply, rx) = flume::bounded(1);
        let stopped = || error::Error::new(error::ErrorKind::Draining, "the process is stopping");
        self.tx.send(Request { call, timeout, reply }).map_err(|_| stopped())?;
        rx.recv_async().await.map_err(|_| stopped())?
    }
}
