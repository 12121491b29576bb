//! Records of decisions about tasks, with their reasons, as [`crate::scheduler::Scheduler::explain`]
//! returns them.

mod history;
mod record;
mod verdict;

pub(crate) use history::History;
pub use record::Record;
pub use verdict::Verdict;
