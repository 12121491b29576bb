//! What batch classes do to the latency of prompt services, learned from late reports.
//!
//! The 99th percentile of a service on a worker is taken as `alone * (1 + sum(load * weight))`
//! over the classes of tasks that ran there when it was measured. `alone` follows a quantile over
//! all workers, so that a shift of load that meets every worker is not blamed on tasks. The
//! weights follow by normalised least mean squares and are never negative.

mod baseline;
mod model;
mod weight;

pub(crate) use baseline::Baseline;
pub(crate) use model::Model;
pub(crate) use weight::Weight;
