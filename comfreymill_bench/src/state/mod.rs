//! Benchmarks, in one process, of how the replicated state, the messages and the leader's work
//! grow with the size of the system.
//!
//! Each is measured at three or more sizes up to the target size, so that the cost at another size
//! can be estimated.

mod fill;
mod granter_slopes;
mod grants;
mod ledger_slopes;
mod log;
pub(crate) mod memory;
mod message_slopes;
mod names;
mod requests;
mod size;

pub use granter_slopes::granter_slopes;
pub use ledger_slopes::ledger_slopes;
pub use message_slopes::message_slopes;
pub use size::Size;
