//! Tests of agreement, log files and snapshots.

mod scenario;
mod schedule;
mod store;
