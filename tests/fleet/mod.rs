//! Control and entry processes together, under the faults of the brief.

mod batch;
mod documents;
mod leader;
mod pairs;
mod partition;
mod prompt;
mod slots;
mod snapshots;
mod strangers;
mod voters;
