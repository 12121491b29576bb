//! Help, output, errors and exit codes of the command line, and its pages in `docs/`.

pub(crate) mod binary;
mod client;
mod node;
mod pages;
mod snapshots;
mod story;
