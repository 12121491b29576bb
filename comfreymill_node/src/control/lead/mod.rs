//! What only the leader keeps: executors, entries and workers as they report, the granters and
//! the scheduler. It is made anew from the replicated state by each leader, and filled again by
//! announcements within one period.

mod batch_metrics;
mod commands;
mod deadlines;
mod entries;
mod executors;
mod grants;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod lead;
mod tasks;

pub(super) use entries::EntryInfo;
pub(super) use lead::Lead;
