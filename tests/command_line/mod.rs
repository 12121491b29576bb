//! Help, errors and exit codes of the command line.

mod binary;
mod client;
mod node;
mod pages;
mod snapshots;
