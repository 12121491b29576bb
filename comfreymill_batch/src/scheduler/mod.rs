//! State machine that turns events into actions.
//!
//! An action that is to be committed reserves resources as soon as it is proposed. Its
//! confirmation makes the reservation permanent, and [`crate::event::Event::ProposalLost`] rolls
//! it back.

mod admission;
mod answers;
mod attempt_ends;
mod attempts;
mod candidates;
mod cost;
mod heartbeats;
mod leadership;
mod leases;
mod parking;
mod placement;
mod preemption;
mod pressure;
mod quarantine;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod scheduler;
mod status;
mod stopping;
mod tasks;

pub use scheduler::Scheduler;
pub use status::Status;
