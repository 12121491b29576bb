//! Mapping of requests to queues, and of queues to the pools that run their tasks.

mod queue;
mod table;

pub use queue::{Advice, Pool, Queue};
pub(crate) use table::unused_name;
pub use table::{Limits, RouteTable, TableError};
