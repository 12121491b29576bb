//! The upstreams' side: executors announce themselves and workers report, as JSON over HTTP.

mod context;
mod serve;

pub use context::Context;
pub use serve::serve;
