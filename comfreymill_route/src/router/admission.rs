use std::net;

use comfreymill_types::error;
use comfreymill_types::id;

/// Answer to a submitted request.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// Send it now.
    Send {
        /// Executor to send it to.
        executor: id::ExecutorName,
        /// Address of the executor.
        address: net::SocketAddr,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// It waits; an action follows.
    Queued,
    /// It is over and was not run.
    Refused(error::Error),
}
