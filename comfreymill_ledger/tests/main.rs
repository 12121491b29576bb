//! Tests of the replicated state machine.

mod documents;
mod requests;
mod snapshots;
mod support;
mod tasks;
