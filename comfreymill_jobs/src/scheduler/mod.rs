//! Decisions of the leader: which task runs on which worker, and which orders workers get.
//!
//! A worker has a lease, and its runs end when the lease expires. Two runs of a task never overlap:
//! the next one is placed only when the previous one is known to have ended, when its worker's
//! incarnation is gone, or when the lease has expired on the worker's own clock. A start order
//! without an answer may still be carried out later, so it is followed by a stop order, after which
//! the worker refuses the start.

mod acknowledgement;
mod announcements;
mod answer;
mod choice;
mod clock_reading;
mod clocks;
mod common_crashes;
mod config;
mod crashes;
mod ends;
mod evacuation;
mod holding;
mod incarnations;
mod interference;
mod jobs;
mod launch;
mod load_average;
mod locality;
mod lost_workers;
mod moves;
mod order;
mod pacing;
mod packing;
mod packing_config;
mod placement;
mod polls;
mod queue;
mod queue_report;
mod refusals;
mod report;
mod restore;
mod round;
mod rounds;
mod route_changes;
mod run;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod scheduler;
mod score;
mod search;
mod starts;
mod stops;
mod task;
mod tick;
mod trials;
mod turns;
mod unread;
mod without_room;
mod worker;
mod worker_clock;
mod workers;

pub use acknowledgement::Acknowledgement;
pub use answer::{Answer, PollAnswer, Refusal, StartAnswer};
pub use config::Config;
pub use evacuation::ZoneReport;
pub use locality::{
    Case, Choice, Forecast, InvalidRemoteFactor, LocalityCounts, Opening, Reason, RemoteFactor,
    WaitStatus, decide,
};
pub use order::Order;
pub use packing_config::PackingConfig;
pub use scheduler::Scheduler;
