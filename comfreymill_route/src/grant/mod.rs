//! Grants of executors' slots to entries, decided by the leader of the group that owns the
//! executors.
//!
//! For each incarnation of an executor, the total number of slots granted never exceeds its
//! capacity. A [`Granter`] raises a grant with a [`GrantChange`], which counts as granted as soon
//! as it is proposed and is shown to the entry only after it is committed. It lowers a grant in two
//! steps: it shows the entry the lower number first, and proposes the change once the entry reports
//! that it uses no more, or once the entry's lease and the longest request deadline have passed.
//!
//! The upper half of an epoch is the leader's term, so that epochs increase across leader changes.
//! Incarnations of entries and executors increase with every restart; messages of a lower
//! incarnation are ignored. A leader may answer heartbeats, and so renew leases, only while it has
//! contact with a quorum.

mod announcement;
mod config;
mod entry_state;
mod executor_state;
mod grant_change;
mod granter;
mod granter_incarnations;
mod granter_rebalance;
mod heartbeat;
mod share;

pub use announcement::Announcement;
pub use config::Config;
pub use grant_change::GrantChange;
pub use granter::Granter;
pub use heartbeat::Heartbeat;
