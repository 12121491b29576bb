//! State that a group of voters replicates: documents, jobs, attempts, keyed requests and grants.
//!
//! [`ledger::Ledger`] is a deterministic state machine. It applies committed [`command::Entry`]
//! records in log order and returns a [`command::Reply`] for each. A command that repeats an
//! earlier one, with the same operation id, idempotency key or fencing token, changes nothing; a
//! repeated operation or job submission returns the first reply. [`command::GroupTime`] counts
//! milliseconds on the leader and never reads a wall clock.

pub mod codec;
pub mod command;
pub mod document;
pub mod grant;
pub mod job;
pub mod ledger;
pub mod operation;
pub mod request;
