//! Calls from gateways and schedulers to the leader about jobs, workers and routes.
//!
//! Every call is idempotent and may be retried: a job, a cancellation or a version of the routes
//! that already exists is acknowledged and changes nothing.

mod call;
mod client;
mod codec;
mod directory;
mod link;
mod members;
mod own_replica;
mod patience;
mod reply;
mod shared;

pub use call::Call;
pub use client::{CallError, Client};
pub use codec::{decode, encode};
pub use directory::Directory;
pub use link::LinkConfig;
pub use members::Members;
pub use own_replica::{OwnKind, OwnReplica};
pub use patience::Patience;
pub use reply::{Phase, Reply};
