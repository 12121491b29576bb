//! Clock of the processes; the decision logic reads no clock and only receives points in time.

#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod clock;

pub use clock::Clock;
pub(crate) use clock::since_1970;
