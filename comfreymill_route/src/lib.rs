//! Decisions about prompt requests: routing, admission, retries, grants and joined resends.
//!
//! Everything here is a state machine without sockets, clocks or threads: each input carries the
//! present as `now`, and the outputs are typed actions. [`router`] runs in each entry, [`grant`]
//! at the leader of the group that owns the executors, [`idempotency`] in each entry.

pub mod grant;
pub mod idempotency;
pub mod router;
