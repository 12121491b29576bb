//! HTTP interface of an entry for callers: forwards each prompt request to an executor.

mod attempt;
mod context;
mod execution;
mod gate;
mod key_record;
mod keyed_runs;
mod serve;
mod target;

pub use context::Context;
pub use serve::serve;
