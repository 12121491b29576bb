//! Decisions about batch tasks and standing tasks.
//!
//! [`scheduler::Scheduler`] is a state machine without I/O that runs on the group's leader. It
//! takes typed events with the current time and returns typed actions, some of which take effect
//! only after the caller has committed them to the log. The contract between scheduler and worker
//! is described in [`action`].

pub mod action;
mod catalog;
pub mod config;
pub mod decision;
pub mod event;
mod fleet;
pub mod interference;
mod queue;
pub mod scheduler;
mod task;
