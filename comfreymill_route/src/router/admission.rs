use std::net;

use comfreymill_types::error;
use comfreymill_types::id;

/// Decision about a submitted request.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// Send the request immediately.
    Send {
        /// Executor to send it to.
        executor: id::ExecutorName,
        /// Address of the executor.
        address: net::SocketAddr,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// The request is queued; an [`Action`](super::Action) follows.
    Queued,
    /// The request is refused and was not run.
    Refused(error::Error),
}
