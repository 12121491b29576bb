//! Tests of the replicated state machine.

mod documents;
mod grants;
mod requests;
mod snapshots;
mod support;
mod tasks;
