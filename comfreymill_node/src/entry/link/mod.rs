//! Link of the entry to the group's leader.
//!
//! One task owns the connection. Unanswered calls are resent over the next connection until they
//! time out. Each call has its own key, which makes resending safe.

mod call_error;
mod candidates;
mod handle;
mod pending;
mod session;
mod task;

pub use handle::Link;
pub use task::{LinkConfig, start};
