//! Simulates a whole group under seeded random schedules of message loss, delay, reordering and
//! duplication, crashes, restarts, snapshots, lost disks and membership changes. Checks the safety
//! properties after every step, and progress at the end.

mod checker;
mod coverage;
mod faults;
mod file_store;
mod machine;
mod network;
pub(crate) mod node;
mod profile;
mod runs;
pub(crate) mod world;
