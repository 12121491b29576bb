//! Stand-ins for callers, executors and workers, clusters of real processes for tests, and the
//! benchmarks.

pub mod batch;
pub mod cluster;
pub mod decisions;
pub mod error;
pub mod figure;
pub mod first_day;
pub mod fleet;
pub mod idle;
pub mod part;
pub mod route;
pub mod standin;
pub mod state;
