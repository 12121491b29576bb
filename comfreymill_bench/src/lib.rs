//! Stand-ins for callers, executors and workers, and the benchmark command.

pub mod batch;
pub mod cluster;
pub mod figure;
pub mod first_day;
pub mod idle;
pub mod route;
pub mod standin;
