//! Executors as the platform's pages describe them.

mod announcer;
mod config;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod executor;
mod gangs;
mod life;
mod state;
mod work;

pub(crate) use config::Config;
pub(crate) use executor::Executor;
pub(crate) use gangs::Gangs;
