//! State that only the leader has: the executors, entries and workers that reported to it, the
//! granters and the batch scheduler.
//!
//! Each new leader rebuilds this state from the replicated state; announcements complete it within
//! one period.

mod batch_metrics;
mod commands;
mod deadlines;
mod entries;
mod executors;
mod grants;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod leader;
mod tasks;

pub(super) use entries::EntryInfo;
pub(super) use leader::Leader;
