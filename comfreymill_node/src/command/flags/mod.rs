//! Grammar of the command line.
//!
//! There is one grammar for the programs and general commands, one for `env` and one for `job`,
//! since each generates types that are named after its commands. [`Line::parse`] picks the one
//! that the words ask for.

pub(super) mod env;
pub(super) mod general;
pub(super) mod job;
mod line;

pub(super) use line::{Call, Line, Options, Verb};
