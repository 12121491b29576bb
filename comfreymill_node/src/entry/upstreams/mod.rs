//! HTTP interface of an entry for upstreams: announcements of executors and heartbeats of workers,
//! as JSON.

mod context;
mod serve;

pub use context::Context;
pub use serve::serve;
