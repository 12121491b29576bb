//! Domain types of comfreymill, shared by every crate.
//!
//! Ids, sizes, times and rates are newtypes whose `Display` output parses back to the same value.
//! The [`error`] module holds the closed list of error kinds and the table that maps each kind to
//! its HTTP status, run state and exit code.

pub mod document;
pub mod error;
pub mod id;
pub mod size;
pub mod time;
pub mod yaml;

mod decimal;
