//! Stand-ins for the peers of the system: executors, workers and callers.
//!
//! Executors and workers each run on a thread with its own runtime and record events in a journal.
//! Tests and benchmarks check against this journal rather than against what the system reports.

mod announcer;
mod behaviour;
mod caller;
mod executor;
mod executor_config;
mod journal;
mod payload;
mod run;
mod worker;
mod worker_config;

pub use behaviour::Behaviour;
pub use caller::{Answer, Call};
pub use executor::Executor;
pub use executor_config::ExecutorConfig;
pub use journal::{Journal, Record, RecordKind};
pub use payload::Payload;
pub use worker::Worker;
pub use worker_config::WorkerConfig;
