//! Gateway process: forwards callers' requests about jobs to the leader.
//!
//! The gateway is stateless: every answer comes from the leader, so no request is handled with
//! outdated routes.

mod callers;
mod process;
mod ready;

pub use process::run;
