use comfreymill_types::id;
use comfreymill_types::size;

use super::Directive;
use crate::event;

/// Desired state of one attempt, listed in the answer to a worker's heartbeat.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Assignment {
    /// Attempt that the worker is to run or stop.
    pub attempt: id::AttemptId,
    /// Class of the task.
    pub class: id::ClassName,
    /// Resources reserved for the attempt.
    pub reserved: size::Resources,
    /// Checkpoint to resume from.
    pub checkpoint: Option<event::Checkpoint>,
    /// What the worker must do with the attempt.
    pub directive: Directive,
}
