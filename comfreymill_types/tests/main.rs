//! Tests of the domain types.

mod document;
mod error;
mod id;
mod size;
mod support;
mod time;
mod yaml;
