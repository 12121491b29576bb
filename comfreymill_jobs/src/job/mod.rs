//! Job specifications as submitted by callers: a graph of steps, run once or on a schedule.

mod check;
mod schedule;
mod spec;
mod step;

pub use check::{SpecError, check};
pub use schedule::Schedule;
pub use spec::JobSpec;
pub use step::{StepKind, StepSpec};
