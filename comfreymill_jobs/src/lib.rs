//! Jobs that are graphs of steps, and workers that are told what to run.
//!
//! [`state::State`] is what the log builds: the routes in force, jobs with the tasks that have
//! ended, and the workers that may hold runs. [`scheduler::Scheduler`] lives in the leader's
//! memory: it takes reports of workers and committed changes in, and gives orders to workers and
//! commands for the log out. Neither does I/O or reads a clock.

pub mod id;
pub mod job;
pub mod routes;
pub mod scheduler;
pub mod state;
pub mod worker;
