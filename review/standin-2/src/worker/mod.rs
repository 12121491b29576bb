//! Executor that runs tasks under leases, as the platform's page on running tasks describes it.
//!
//! A task's text says what the task does, see [`Work`].

mod executor;
mod life;
mod orders;
mod serve;
mod work;

pub(crate) use executor::{Executor, Plan};
pub(crate) use work::Work;
