//! Control and entry processes together, under the faults of the brief.

mod batch;
mod documents;
mod leader;
mod partition;
mod prompt;
mod voters;
