//! HTTP interface of an entry for operators: changes, queries, health checks and metrics.

mod context;
mod route;
mod serve;

pub use context::Context;
pub use serve::serve;
