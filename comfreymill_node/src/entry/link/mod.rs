//! The entry's link to the group's leader.
//!
//! One task owns the connection. Calls that were not answered are sent again over the next
//! connection, until their time is up; every call carries a key of its own that makes a resend
//! harmless.

mod call_error;
mod candidates;
mod handle;
mod pending;
mod session;
mod task;

pub use handle::Link;
pub use task::{LinkConfig, start};
