use std::net;

use comfreymill_types::error;
use comfreymill_types::id;

/// What the shell has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request that waited, or send it again after an attempt that did not run.
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
    /// Answer the caller with an error; the request is over.
    Refuse {
        /// Request that is over.
        request: u64,
        /// Error for the caller.
        error: error::Error,
    },
    /// Probe the executor's health on a new connection and report it by `probed`.
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
    /// Demand changed enough to tell the granting leader before the next heartbeat.
    DemandChanged,
}
