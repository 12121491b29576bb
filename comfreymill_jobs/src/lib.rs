//! Scheduling of jobs, which are graphs of steps, on workers.
//!
//! [`state::State`] is the replicated state machine: the routes in force, jobs with the tasks that
//! have ended, and the workers that may have runs. [`scheduler::Scheduler`] is held in memory by
//! the leader: its inputs are worker reports and committed changes, its outputs are orders to
//! workers and commands for the log. Neither does I/O or reads a clock.

pub mod id;
pub mod job;
pub mod routes;
pub mod scheduler;
pub mod state;
pub mod worker;
