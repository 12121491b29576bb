//! Entry process: routes the callers' requests to executors and forwards calls of upstreams and
//! operators to the leader.

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
