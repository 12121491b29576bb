//! Tests of single scheduling rules.

mod admission;
mod capacity;
mod harness;
mod order;
mod outcomes;
mod pressure;
mod quarantine;
mod settings;

pub(crate) use harness::Harness;
