//! Slopes of the replicated state, of messages and of the leader's work, in one process.
//!
//! Each is measured at three sizes or more, the largest of them the size that is aimed at, so
//! that the cost at another size can be worked out.

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
