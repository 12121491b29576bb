//! The path of a prompt request: caller, dispatcher, executor, caller.

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
