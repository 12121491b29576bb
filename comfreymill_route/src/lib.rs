//! Decisions about prompt requests: routing, admission, retries, grants and coalescing of resends.
//!
//! All modules are state machines without sockets, clocks or threads: each call passes the current
//! time as `now`, and the outputs are typed actions for the I/O layer to carry out. [`router`] and
//! [`idempotency`] run in each entry, [`grant`] at the leader of the group that owns the executors.

pub mod grant;
pub mod idempotency;
pub mod router;
