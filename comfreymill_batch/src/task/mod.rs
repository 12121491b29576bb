//! Tasks and their attempts.

mod attempt;
mod commit_state;
mod job_stats;
mod phase;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod task;

pub(crate) use attempt::Attempt;
pub(crate) use commit_state::CommitState;
pub(crate) use job_stats::JobStats;
pub(crate) use phase::Phase;
pub(crate) use task::Task;
