use std::net;

use comfreymill_types::error;
use comfreymill_types::id;

/// Instruction from the router to the I/O layer.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request that was queued, or send it again after an attempt that did not run.
    Send {
        /// Request to send.
        request: u64,
        /// Executor to send it to.
        executor: id::ExecutorName,
        /// Address of the executor.
        address: net::SocketAddr,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Answer the caller with an error; the router has dropped the request.
    Refuse {
        /// Request to refuse.
        request: u64,
        /// Error for the caller.
        error: error::Error,
    },
    /// Probe the executor's health on a new connection and report the result with
    /// [`Router::probed`](super::Router::probed).
    Probe {
        /// Executor to probe.
        executor: id::ExecutorName,
        /// Address of the executor.
        address: net::SocketAddr,
    },
    /// Close idle connections to the executor.
    DropConnections {
        /// Executor whose connections to close.
        executor: id::ExecutorName,
        /// Address of the executor.
        address: net::SocketAddr,
    },
    /// Report the demand to the leader before the next heartbeat is due.
    DemandChanged,
}
