//! Control process: a replica of the group that, while it is the leader, makes all decisions on
//! grants and batch work.
//!
//! One task, the core, owns the replica, the replicated state and the leader's state. Connections
//! and the store's thread send it messages.

mod core;
mod leader;
mod operators;
mod process;
mod views;
mod voters;

pub use process::{ControlError, run};
