//! Points in time and spans of time.
//!
//! Decision modules read no clock: each call is given the present as a [`Monotonic`], which counts
//! from the start of the process. Wall clocks are only printed.

mod drift;
mod monotonic;
mod span;

pub use drift::{Drift, ParseDriftError};
pub use monotonic::Monotonic;
pub use span::{ParseSpanError, Span};
