//! Turns of the scheduler's loop: which inputs are handled next, and how many before the loop gives
//! way to the connections again.
//!
//! **Load pattern:** after a pause of the leader, or during a burst, thousands of workers' answers,
//! announcements and calls wait at once. Handled in the order of their arrival, a heartbeat of the
//! group or a cancellation would wait behind all of them, the leader would lose its lease, and its
//! successor would start with a longer queue.
//!
//! So inputs wait in one queue for each [`Kind`]. The most urgent kind goes first, and each kind has
//! a quota for each turn, so that no kind is starved by more urgent ones either. The decisions in
//! this module do no I/O.

mod backlog;
mod kind;
mod leading;
mod overload;
mod pacer;

pub use backlog::{Backlog, Queued};
pub use kind::Kind;
pub use leading::{Leading, give_orders};
pub use overload::{Bounds, Level, Overload};
pub use pacer::Pacer;
