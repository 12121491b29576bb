//! Grammars of the command line.
//!
//! The programs and general commands, `env`, `job` and `zone` have one grammar each, since a grammar
//! generates types that are named after its commands. [`Line::parse`] selects the grammar by the
//! first word.

pub(super) mod env;
pub(super) mod general;
pub(super) mod job;
mod line;
pub(super) mod zone;

pub(super) use line::{Call, Line, Options, Verb};
