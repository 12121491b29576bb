//! Replicated log of a group of voters: agreement, log files and snapshots.
//!
//! [`replica::Replica`] is the agreement as a state machine: it does no I/O and reads no clock.
//! Events go in with the present time, [`replica::Action`]s come out. [`store::Store`] keeps the
//! log and the snapshots in files, and [`store::Thread`] runs it on a thread of its own.
//!
//! The algorithm is Raft with pre-vote, check-quorum, leader leases, learners and one change of
//! membership at a time. A member is known by its voter id *and* the id of its disk, so that a
//! replica whose disk was lost is never taken for its former self.

pub mod entry;
pub mod id;
pub mod membership;
pub mod message;
pub mod replica;
pub mod snapshot;
pub mod store;
