//! Commands in the replicated log and the replies to them.

#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod command;
mod entry;
mod group_time;
mod reply;

pub use command::Command;
pub use entry::Entry;
pub use group_time::GroupTime;
pub use reply::Reply;
