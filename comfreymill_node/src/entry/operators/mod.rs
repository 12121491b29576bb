//! The operators' side of an entry: changes, questions, health and metrics.

mod context;
mod route;
mod serve;

pub use context::Context;
pub use serve::serve;
