use std::net;

use comfreymill_types::error;
use comfreymill_types::id;

/// What a request shall do next.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchOrder {
    /// Go to this executor.
    Send {
        /// Executor.
        executor: id::ExecutorName,
        /// Address of the executor.
        address: net::SocketAddr,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Answer with this error; the request is over.
    Refuse(error::Error),
}
