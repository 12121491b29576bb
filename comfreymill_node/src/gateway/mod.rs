//! Gateway process: takes callers' requests about jobs and asks the leader.
//!
//! It keeps no state: every answer comes from the leader, so no request is handled by routes that
//! are no longer in force.

mod callers;
mod process;
mod ready;

pub use process::run;
