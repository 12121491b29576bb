//! Control and entry processes together, under the faults of the brief.

mod documents;
mod leader;
mod prompt;
