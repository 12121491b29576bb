//! Tests of the domain types.

mod document;
mod time;
mod yaml;
