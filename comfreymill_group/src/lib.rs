//! Replicated log of a group of voters: Raft consensus, log files and snapshots.
//!
//! [`replica::Replica`] implements Raft as a state machine: it does no I/O and reads no clock.
//! The caller passes events with the current time and carries out the returned
//! [`replica::Action`]s. [`store::Store`] writes the log and the snapshots to files, and
//! [`store::Thread`] runs the store on its own thread.
//!
//! The algorithm is Raft with pre-vote, check-quorum, leader leases, learners and single-member
//! membership changes. A member is identified by its voter id *and* its disk id, so that a replica
//! that lost its disk can't vote or acknowledge entries under its earlier identity.

pub mod entry;
pub mod id;
pub mod membership;
pub mod message;
pub mod replica;
pub mod snapshot;
pub mod store;
