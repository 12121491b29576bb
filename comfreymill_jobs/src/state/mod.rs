//! Replicated state machine: deterministic, without a clock.

mod apply;
mod cancellations;
mod command;
mod crash;
mod departures;
mod evacuation;
mod former_workers;
mod job;
mod queues;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod state;
mod step;
mod worker;

pub use apply::Effect;
pub use cancellations::Cancellations;
pub use command::{Command, Submission};
pub use crash::{CrashRecord, CrashedRun, GivenUp};
pub(crate) use departures::ANY_ANNOUNCEMENT;
pub use departures::Departures;
pub use evacuation::{Evacuations, ZoneOrder, ZoneRecord, ZoneRequest};
pub use former_workers::FormerWorkers;
pub use job::{Job, JobStatus, Occurrence};
pub use state::{Routes, State, StateError};
pub use step::StepState;
pub use worker::Worker;
