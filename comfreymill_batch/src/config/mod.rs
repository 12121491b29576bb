//! Settings of the scheduler.

#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod config;
mod hysteresis;
mod policy;
mod quarantine;

pub use config::Config;
pub use hysteresis::Hysteresis;
pub use policy::{ParsePolicyError, Policy};
pub use quarantine::Quarantine;
