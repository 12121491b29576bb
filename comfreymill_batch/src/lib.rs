//! Decisions about batch tasks and standing tasks.
//!
//! [`scheduler::Scheduler`] is a state machine without I/O that runs at the group's leader. It is
//! given typed events with the present time and returns typed actions, some of which the caller
//! commits to the log before they count. The contract between scheduler and worker is described
//! in [`action`].

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
