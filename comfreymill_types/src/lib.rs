//! Domain types of comfreymill, shared by every crate.
//!
//! Ids, sizes, times and rates are newtypes that print and parse the same text. The error module
//! holds the one closed list of error kinds and the table that gives each kind's answer.

pub mod document;
pub mod error;
pub mod id;
pub mod size;
pub mod time;
pub mod yaml;

mod decimal;
