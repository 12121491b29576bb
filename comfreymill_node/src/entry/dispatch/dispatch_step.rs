use std::net;

use comfreymill_types::error;
use comfreymill_types::id;

/// Next step that the dispatcher tells a request to take.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchStep {
    /// Send the request to an executor.
    Send {
        /// Name of the executor.
        executor: id::ExecutorName,
        /// Address of the executor.
        address: net::SocketAddr,
        /// Number of the attempt, starting at 1.
        attempt: u32,
        /// Slots of the executor that this entry uses, including the one for this attempt.
        slots_in_use: u32,
        /// Region of the executor, if it differs from that of this entry.
        remote_region: Option<id::RegionName>,
    },
    /// Answer the caller with an error; the request is over.
    Refuse(error::Error),
}
