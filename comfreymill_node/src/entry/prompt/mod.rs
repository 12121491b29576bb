//! HTTP interface of an entry for callers: forwards each prompt request to an executor.

mod attempt;
mod conduct;
mod context;
mod gate;
mod keyed;
mod keys;
mod serve;
mod target;

pub use context::Context;
pub use serve::serve;
