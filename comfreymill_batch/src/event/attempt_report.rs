use comfreymill_types::id;
use comfreymill_types::size;

use super::{AttemptState, Checkpoint};

/// Report of one attempt in a worker's heartbeat.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AttemptReport {
    /// Attempt that the report is about.
    pub attempt: id::AttemptId,
    /// State of the attempt on the worker.
    pub state: AttemptState,
    /// Latest checkpoint of this attempt.
    pub checkpoint: Option<Checkpoint>,
    /// Measured use; its age is [`super::Heartbeat::usage_age`].
    pub usage: Option<size::Resources>,
}

impl AttemptReport {
    /// Creates a report of `state` without a checkpoint or a measurement.
    pub fn new(attempt: id::AttemptId, state: AttemptState) -> Self {
        Self { attempt, state, checkpoint: None, usage: None }
    }
}
