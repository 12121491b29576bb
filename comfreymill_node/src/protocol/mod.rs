//! Messages between an entry and the group's leader.
//!
//! A [`Call`] expects one reply. Every call may be resent after a lost reply, since operations, jobs
//! and requests have their own keys. A [`Push`] is state that the leader sends without a call.
//! Bodies are domain types in CBOR inside a [`crate::peer::Frame`].

mod answer;
mod call;
mod document_view;
mod entry_heartbeat;
mod environment_stage;
mod executor_announcement;
mod executor_row;
mod operation;
mod push;
mod voter_change;
mod worker_directives;
mod worker_heartbeat;

pub use answer::{Answer, CallResult, KeyedRequest};
pub use call::Call;
pub use document_view::DocumentView;
pub use entry_heartbeat::{EntryHeartbeat, EntryLease, StageDemand};
pub use environment_stage::EnvironmentStage;
pub use executor_announcement::{ExecutorAnnouncement, UpstreamState};
pub use executor_row::ExecutorRow;
pub use operation::Operation;
pub use push::Push;
pub use voter_change::VoterChange;
pub use worker_directives::{AttemptDirective, WorkerDirectives};
pub use worker_heartbeat::WorkerHeartbeat;

/// Source number of the group in the tables given to routers; an entry is linked to one group only.
pub const SOURCE: u32 = 0;
