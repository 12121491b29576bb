//! Workers of a leader, with indexes that spare a look at each of them.
//!
//! Load pattern: a thousand starts and ends a second on hundreds of workers, while thousands of
//! tasks wait. A look at each worker for each waiting task, announcement or tick takes more than the
//! leader's share of a processor.
//!
//! The indexes are derived from the entries. Mutable access marks an entry as changed, and the
//! changed entries are indexed again before the next search, so no change can be missed.

mod pool_index;
mod pools;
mod room_index;
mod score_index;
mod timers;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod workers;

pub(in crate::scheduler) use pools::PoolId;
pub(in crate::scheduler) use score_index::ScoreKey;
pub(in crate::scheduler) use workers::Workers;
