//! What the scheduler asks for.
//!
//! `Start`, `RecordCheckpoint`, `End`, `Park` and `Unpark` are committed to the log and come back
//! as events. The others change what [`crate::scheduler::Scheduler::desired`] lists.
//!
//! # Contract with the worker
//!
//! - A worker sends a heartbeat about once per period and is answered with the list of
//!   [`Assignment`]s of its present incarnation, the lease, the leader's term and the heartbeat's
//!   sequence. It ignores an answer to another incarnation, and one whose term and sequence, in
//!   this order, are not greater than those of the last answer that it took.
//! - It counts the lease from when it *sent* the heartbeat, and stops everything when it runs out.
//! - It starts an attempt listed as `Run` or `Throttle` that it does not know. It reports an
//!   unknown attempt listed as `Stop` as stopped and not begun. It stops what is not listed.
//! - It reports an ended attempt until an answer no longer lists it, and starts no attempt twice.
//! - On `Checkpoint` it takes a checkpoint and holds the task until another directive.
//! - A restarted worker has a greater incarnation and runs nothing of the earlier ones.
//! - An answer is sent only by a leader that confirmed its leadership after it handled the
//!   heartbeat, and never to a heartbeat that was handled after a newer one.

#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod action;
mod assignment;
mod directive;
mod outcome;
mod park_reason;
mod percent;
mod stop_reason;

pub use action::Action;
pub use assignment::Assignment;
pub use directive::Directive;
pub use outcome::Outcome;
pub use park_reason::ParkReason;
pub use percent::{ParsePercentError, Percent};
pub use stop_reason::StopReason;
