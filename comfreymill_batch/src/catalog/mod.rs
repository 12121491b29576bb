//! Teams and classes of the documents in force, with the estimates learned from their tasks.

#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod catalog;
mod class_entry;
mod index;
mod task_estimate;
mod team_entry;

pub(crate) use catalog::Catalog;
pub(crate) use class_entry::{ClassEntry, ClassSpec};
pub(crate) use index::{ClassIndex, TeamIndex};
pub(crate) use task_estimate::TaskEstimate;
pub(crate) use team_entry::TeamEntry;
