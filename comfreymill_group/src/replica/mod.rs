//! Agreement of one replica, as a state machine without I/O.
//!
//! Each call is given the present; [`Replica::take_actions`] then lists what the shell has to do.
//! A [`Persist`] goes to the store, and [`Replica::persisted`] reports its sync. Whatever rests on
//! a write (a vote, an accepted entry, the leader's own share of a commit) waits for that report.
//! A leader sends entries to its followers while its own sync is under way.
//!
//! A leader holds its lease as long as a quorum answered heartbeats that were sent within the
//! lease. Followers refuse votes for a minimum election timeout after each heartbeat, and after a
//! restart, so the lease, which is shorter by the bound on clock drift, ends before another leader
//! can be elected. A leader that loses its lease steps down.

mod action;
mod append;
mod config;
mod core;
mod election;
mod founding;
mod halt;
mod incoming;
mod lease;
mod log;
mod member;
mod newcomer;
mod outbox;
mod outgoing;
mod peer;
mod persist;
mod proposal;
mod recovered;
mod replicate;
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
pub use config::{Config, ConfigError};
pub use halt::Halt;
pub use member::ChangeError;
pub use persist::Persist;
pub use proposal::{ProposeError, Proposed};
pub use recovered::Recovered;
pub use role::Role;
pub use start::Start;
pub use status::{PeerStatus, Status};
pub use transfer::TransferError;
