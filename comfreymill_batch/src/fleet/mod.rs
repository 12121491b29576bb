//! Workers, indexed by their free resources.

mod bucket;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod fleet;
mod health;
mod mix;
mod pool;
mod pressure;
mod rng;
mod service_load;
mod worker;
mod worker_index;

pub(crate) use bucket::Bucket;
pub(crate) use fleet::Fleet;
pub(crate) use health::Health;
pub(crate) use mix::{Mix, MixHistory};
pub(crate) use pool::Pool;
pub(crate) use pressure::{Pressure, Step};
pub(crate) use rng::Rng;
pub(crate) use service_load::ServiceLoad;
pub(crate) use worker::Worker;
pub(crate) use worker_index::{ServiceIndex, WorkerIndex};
