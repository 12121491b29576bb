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
        /// Slots of the executor that this entry uses, with this one.
        slots_in_use: u32,
        /// Region of the executor, if it is not that of this entry.
        far_region: Option<id::RegionName>,
    },
    /// Answer with this error; the request is over.
    Refuse(error::Error),
}
