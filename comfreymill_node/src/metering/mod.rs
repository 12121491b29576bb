//! Metrics of a process.
//!
//! [`metric`] names every metric once, with its unit and help. The functions of [`observe`] are
//! the only place that records; labels come from documents, settings and closed lists, never from
//! what a caller sends. [`Meter`] renders the text for `/metrics`.

mod meter;
pub mod metric;
pub mod observe;

pub use meter::Meter;
