//! Parts of the benchmark command.

#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod part;

pub use part::{ParsePartError, Part};
