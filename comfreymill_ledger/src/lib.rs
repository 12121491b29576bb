//! State that a group of voters replicates: documents, jobs, attempts, keyed requests and grants.
//!
//! [`ledger::Ledger`] is a deterministic state machine. Each committed [`command::Entry`] is
//! applied in the order of the log and gives a [`command::Reply`]. Commands that repeat an
//! earlier one (the same operation id, idempotency key or fencing token) change nothing and give
//! the first reply. Time is the group's own: milliseconds that the leader counts, never a wall
//! clock.

pub mod codec;
pub mod command;
pub mod document;
pub mod grant;
pub mod job;
pub mod ledger;
pub mod operation;
pub mod request;
