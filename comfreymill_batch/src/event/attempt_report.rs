use comfreymill_types::id;
use comfreymill_types::size;

use super::{AttemptState, Checkpoint};

/// One attempt in a worker's heartbeat.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AttemptReport {
    /// Attempt reported on.
    pub attempt: id::AttemptId,
    /// State at the worker.
    pub state: AttemptState,
    /// Latest checkpoint of this attempt.
    pub checkpoint: Option<Checkpoint>,
    /// Measured use, of the age that the heartbeat states.
    pub usage: Option<size::Resources>,
}

impl AttemptReport {
    /// Report of `state` without a checkpoint or a measurement.
    pub fn new(attempt: id::AttemptId, state: AttemptState) -> Self {
        Self { attempt, state, checkpoint: None, usage: None }
    }
}
