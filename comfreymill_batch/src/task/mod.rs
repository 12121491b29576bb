//! Tasks and their attempts.

mod attempt;
mod grip;
mod job_record;
mod phase;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod task;

pub(crate) use attempt::Attempt;
pub(crate) use grip::Grip;
pub(crate) use job_record::JobRecord;
pub(crate) use phase::Phase;
pub(crate) use task::Task;
