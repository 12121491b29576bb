//! Measurement of the resource use of idle processes.

mod measure;
mod usage;

pub use measure::{ProcessUsage, measure};
pub use usage::Usage;
