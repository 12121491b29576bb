//! The shell's clock; decision modules only see the points in time that it gives.

#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod clock;

pub use clock::Clock;
pub(crate) use clock::since_1970;
