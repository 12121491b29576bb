//! YAML whose every node knows its place, so that a file's faults are all reported at once.
//!
//! A [`Node`] is read by serde-saphyr. [`from_text`] reads a type that derives serde's traits and
//! gathers a [`Problem`](crate::document::Problem) for each value that does not fit. A [`Section`]
//! does the same for types that are put together by hand: it takes the known keys from a mapping
//! and reports each key that is missing, unknown or malformed.

mod deserializer;
mod fields;
mod items;
mod node;
mod read_error;
mod report;
mod section;
mod variant;

pub use deserializer::from_text;
pub use node::{Entry, Node, Value};
pub use section::Section;
