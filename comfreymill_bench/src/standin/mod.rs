//! Stand-ins for what the system meets: executors, workers and callers.
//!
//! Each runs on a thread with a runtime of its own and keeps a journal, which tests and
//! benchmarks trust rather than the product's word.

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
