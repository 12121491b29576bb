use comfreymill_types::id;
use comfreymill_types::size;

use super::Directive;
use crate::event;

/// One attempt in the answer to a worker's heartbeat.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Assignment {
    /// Attempt.
    pub attempt: id::AttemptId,
    /// Class of the task.
    pub class: id::ClassName,
    /// What is reserved for it.
    pub reserved: size::Resources,
    /// Checkpoint to begin from.
    pub checkpoint: Option<event::Checkpoint>,
    /// What to do with it.
    pub directive: Directive,
}
