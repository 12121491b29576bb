//! Which queue a request belongs to, and which pool runs a queue's tasks.

mod queue;
mod table;

pub use queue::{Advice, Pool, Queue};
pub use table::{Limits, RouteTable, TableError};
