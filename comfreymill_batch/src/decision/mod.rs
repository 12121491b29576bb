//! Records of decisions, for `explain TASK`.

mod history;
mod record;
mod verdict;

pub(crate) use history::History;
pub use record::Record;
pub use verdict::Verdict;
