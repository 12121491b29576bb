//! Connections with other processes: messages of the group, and calls to the leader.

mod accept;
mod links;

pub(super) use accept::{SessionId, listen};
pub(super) use links::Links;
