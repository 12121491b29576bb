//! Seeded schedules of a whole group: loss, delay, reordering, duplication, crashes, restarts,
//! snapshots, lost disks and changes of membership, with the safety properties checked after every
//! step and progress checked at the end.

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
