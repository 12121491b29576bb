//! Jobs, their tasks and the attempts that run them.

mod attempt_outcome;
mod checkpoint;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod job;
mod job_spec;
mod job_state;
mod parking;
mod progress;
mod task;
mod task_state;

pub use attempt_outcome::AttemptOutcome;
pub use checkpoint::Checkpoint;
pub use job::Job;
pub use job_spec::JobSpec;
pub use job_state::JobState;
pub use parking::Parking;
pub use progress::Progress;
pub use task::Task;
pub use task_state::TaskState;
