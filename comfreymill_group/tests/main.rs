//! Tests of agreement, log files and snapshots.

mod schedule;
mod store;
