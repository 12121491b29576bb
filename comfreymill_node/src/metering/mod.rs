//! Metrics of a process.
//!
//! [`metric`] defines the name, unit and help of every metric. Values are recorded only by the
//! functions of [`observe`]. Labels come from documents, settings and closed lists, never from
//! callers. [`Meter`] renders the text for `/metrics`.

mod loop_metrics;
mod meter;
pub mod metric;
pub mod observe;

pub use loop_metrics::LoopMetrics;
pub use meter::Meter;
