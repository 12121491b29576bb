//! What a caller hands in: a graph of steps, run once or at times.

mod check;
mod schedule;
mod spec;
mod step;

pub use check::{SpecError, check};
pub use schedule::Schedule;
pub use spec::JobSpec;
pub use step::{StepKind, StepSpec};
