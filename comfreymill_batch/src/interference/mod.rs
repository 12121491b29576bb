//! What batch classes do to the latency of prompt services, learned from late reports.
//!
//! A report is first divided by the present median of its service over all workers, so that a
//! shift of load that meets every worker is not blamed on tasks. The quotient is taken as
//! `alone + sum(load * effect)` over the classes that ran on the worker when it was measured, and
//! fitted by least squares with forgetting. It is the difference between workers that tells the
//! classes apart. The slowdown by a class is its effect as a part of `alone`.

mod median;
mod model;
mod regression;
mod service_model;

pub(crate) use median::Median;
pub(crate) use model::Model;
pub use regression::Regression;
pub(crate) use service_model::ServiceModel;
