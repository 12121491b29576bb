use std::fmt;

use comfreymill_types::id;

use crate::action;

/// Decision about a task.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The task waits.
    Wait,
    /// The task was placed on a worker.
    Place(id::WorkerName),
    /// The speed of the task was changed.
    Throttle(action::Percent),
    /// The task was told to take a checkpoint before it is stopped.
    Checkpoint,
    /// The task is being stopped.
    Stop(action::StopReason),
    /// The attempt of the task ended.
    End(action::Outcome),
    /// The task is parked.
    Park(action::ParkReason),
    /// The task is no longer parked.
    Unpark,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Wait => f.write_str("wait"),
            Self::Place(worker) => write!(f, "place on {worker}"),
            Self::Throttle(percent) => write!(f, "throttle to {percent}"),
            Self::Checkpoint => f.write_str("take a checkpoint"),
            Self::Stop(reason) => write!(f, "stop, {reason}"),
            Self::End(outcome) => write!(f, "end, {outcome}"),
            Self::Park(reason) => write!(f, "park, {reason}"),
            Self::Unpark => f.write_str("unpark"),
        }
    }
}
