//! Connections that peers opened: each has a task that reads and one that writes.

mod listener;
mod session_id;

pub(super) use listener::listen;
pub(super) use session_id::SessionId;
