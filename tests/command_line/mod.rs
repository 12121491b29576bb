//! Help, errors and exit codes of the command line.

pub(crate) mod binary;
mod client;
mod node;
mod pages;
mod snapshots;
mod story;
