//! Effect of batch classes on the latency of prompt services, learned from delayed reports.
//!
//! A report is first divided by the current median of its service over all workers, so that a
//! change of load that affects every worker is not attributed to tasks. The quotient is modelled
//! as `alone + sum(load * effect)` over the classes that ran on the worker when it was measured,
//! and fitted by least squares with exponential forgetting. The classes are told apart by the
//! differences between workers. The slowdown caused by a class is its effect divided by `alone`.

mod median;
mod model;
mod regression;
mod service_model;

pub(crate) use median::Median;
pub(crate) use model::Model;
pub use regression::Regression;
pub(crate) use service_model::ServiceModel;
