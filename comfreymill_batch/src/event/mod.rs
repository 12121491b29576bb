//! Input events of the scheduler.
//!
//! Events about tasks and attempts are confirmations from the log: they are handled only after
//! they were committed. Heartbeats and measurements come from workers and may be lost,
//! duplicated, delayed or reordered.

mod attempt_report;
mod attempt_state;
mod attempt_view;
mod checkpoint;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod event;
mod executor_report;
mod heartbeat;
mod latency_report;
mod progress;
mod task_view;

pub use attempt_report::AttemptReport;
pub use attempt_state::AttemptState;
pub use attempt_view::AttemptView;
pub use checkpoint::Checkpoint;
pub use event::Event;
pub use executor_report::ExecutorReport;
pub use heartbeat::Heartbeat;
pub use latency_report::LatencyReport;
pub use progress::Progress;
pub use task_view::TaskView;
