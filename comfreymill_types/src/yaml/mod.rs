//! YAML parsing that records the location of every node and reports all problems of a file at once.
//!
//! A [`Node`] is parsed by serde-saphyr. [`from_text`] deserializes a type that derives serde's
//! traits and collects a [`Problem`](crate::document::Problem) for each invalid value.
//!
//! A [`Section`] does the same for types that are built by hand: it reads the known keys of a
//! mapping and reports each key that is missing, unknown or malformed.

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
