//! The path of a prompt request: caller, dispatcher, executor, caller.

mod attempt;
mod context;
mod keyed;
mod pool;
mod serve;
mod target;

pub use context::Context;
pub use serve::serve;
