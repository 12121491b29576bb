//! Control and entry processes together, while processes are killed, frozen, stopped or partitioned
//! and disks are lost.

mod batch;
mod documents;
mod leader;
mod pairs;
mod partition;
mod prompt;
mod silent_connections;
mod slots;
mod snapshots;
mod voters;
