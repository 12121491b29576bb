//! Grants of executors' slots to entries, decided by the leader of the group that owns them.
//!
//! For each life of an executor the sum over the entries of what was granted stays within its
//! slots. A [`Granter`] raises a grant by a [`GrantChange`], which counts from the moment it is
//! proposed and is shown to the entry only once it is committed. It lowers a grant in two steps:
//! the entry is shown the lower number first, and the change is proposed after the entry said that
//! it uses no more, or after its lease and the longest request deadline have passed.
//!
//! Epochs hold the leader's term in their upper half, so that they rise over changes of leader.
//! Incarnations of entries and executors rise over their restarts; messages of a lower one are
//! ignored. A leader may answer heartbeats, and so renew leases, only while it hears a quorum.

mod announcement;
mod config;
mod entry_state;
mod executor_state;
mod grant_change;
mod granter;
mod granter_lives;
mod granter_plan;
mod heartbeat;
mod share;

pub use announcement::Announcement;
pub use config::Config;
pub use grant_change::GrantChange;
pub use granter::Granter;
pub use heartbeat::Heartbeat;
