//! Waiting tasks, grouped into lanes of tasks with the same placement requirements.

mod block_reason;
mod lane;
mod lane_key;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod queue;

pub(crate) use block_reason::BlockReason;
pub(crate) use lane::{Lane, LaneIndex};
pub(crate) use lane_key::LaneKey;
pub(crate) use queue::Queue;
