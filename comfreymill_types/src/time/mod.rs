//! Points in time, durations and clock drift.
//!
//! Modules that make decisions never read a clock: each call takes the current time as a
//! [`Monotonic`], which counts from the start of the process. Wall-clock times are only displayed.

mod drift;
mod monotonic;
mod span;

pub use drift::{Drift, ParseDriftError};
pub use monotonic::Monotonic;
pub use span::{ParseSpanError, Span};
