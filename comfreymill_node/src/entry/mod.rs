//! The entry process: callers, upstreams and operators talk to it.

pub mod dispatch;
mod heartbeat;
pub mod link;
mod listeners;
pub mod operators;
pub mod pool;
mod probe;
mod process;
pub mod prompt;
pub mod upstreams;

pub use process::run;
