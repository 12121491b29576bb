//! Output actions of the scheduler.
//!
//! `Start`, `RecordCheckpoint`, `End`, `Park` and `Unpark` are committed to the log and come back
//! as events. The others report changes to the assignments that
//! [`crate::scheduler::Scheduler::desired`] returns.
//!
//! # Contract with the worker
//!
//! - A worker sends a heartbeat about once per period. The answer holds the [`Assignment`]s of the
//!   worker's current incarnation, the lease, the leader's term and the heartbeat's sequence. The
//!   worker ignores an answer to another incarnation, and an answer whose (term, sequence) is not
//!   greater than that of the last answer it accepted.
//! - The worker counts the lease from the time it *sent* the heartbeat, and stops all attempts
//!   when the lease expires.
//! - The worker starts an attempt that it does not know if the attempt is listed as `Run` or
//!   `Throttle`. It reports an unknown attempt listed as `Stop` as stopped and not begun. It stops
//!   an attempt that is not listed.
//! - The worker reports an ended attempt until an answer no longer lists it, and starts no attempt
//!   twice.
//! - On `Checkpoint` the worker takes a checkpoint and pauses the task until another directive.
//! - A restarted worker has a greater incarnation and runs no attempts of the earlier ones.
//! - A leader answers a heartbeat only if it confirmed its leadership after it handled the
//!   heartbeat, and only if it had handled no newer heartbeat before.

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
