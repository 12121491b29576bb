//! Stand-ins for callers, executors and workers, and the benchmark command

pub mod figure;
pub mod route;
