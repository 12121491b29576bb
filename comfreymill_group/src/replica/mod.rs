//! Raft state machine of one replica, without I/O.
//!
//! Each call takes the current time; [`Replica::take_actions`] then returns what the caller has to
//! do. A [`Persist`] is written to the store, and [`Replica::persisted`] reports its sync. Whatever
//! depends on a write (a vote, an accepted entry, the leader's own share of a quorum) waits for
//! that report. A leader sends entries to its followers while its own sync is in progress.
//!
//! A lease is valid as long as a quorum has answered messages that the leader sent within the
//! length of the lease. Followers deny votes for a minimum election timeout after each message of
//! the leader, and after a restart, so the lease, which is shorter by the bound on clock drift,
//! ends before another leader can be elected. A leader that loses its lease steps down.

mod action;
mod append;
mod ballot;
mod change_membership;
mod config;
mod core;
mod diagnosis;
mod election;
mod founding;
mod halt;
mod incoming_snapshot;
mod lease;
mod log;
mod log_bound;
mod member_names;
mod newcomer;
mod outbox;
mod outgoing_snapshot;
mod peer;
mod persist;
mod proposal;
mod recovered;
mod refusal;
mod replicate;
mod report_quorum;
mod report_votes;
mod role;
mod send_snapshot;
mod start;
mod status;
mod step;
mod take_snapshot;
mod tick;
mod transfer;

pub use self::core::Replica;
pub use action::Action;
pub use change_membership::ChangeError;
pub use config::{Config, ConfigError};
pub use halt::Halt;
pub use log_bound::LogBound;
pub use persist::Persist;
pub use proposal::{ProposeError, Proposed};
pub use recovered::Recovered;
pub use refusal::Refusal;
pub use role::Role;
pub use start::Start;
pub use status::{NewcomerStatus, PeerStatus, Status};
pub use transfer::TransferError;
