//! The project's programs as a small deployment on loopback addresses, with executors.

mod addresses;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod bed;
mod commands;
mod operator;
mod process;
mod settings;

pub(crate) use bed::{Bed, CaseError};
pub(crate) use operator::Route;
