//! Tests of single scheduling rules.

mod admission;
mod capacity;
mod desk;
mod order;
mod outcomes;
mod pressure;
mod quarantine;
mod settings;

pub(crate) use desk::Desk;
