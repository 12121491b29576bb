//! Tests of Raft consensus, log files and snapshots.

mod scenario;
mod schedule;
mod store;
