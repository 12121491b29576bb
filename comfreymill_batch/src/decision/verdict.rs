use std::fmt;

use comfreymill_types::id;

use crate::action;

/// What was decided about a task.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It waits.
    Wait,
    /// It was placed on a worker.
    Place(id::WorkerName),
    /// Its speed was changed.
    Throttle(action::Percent),
    /// It was told to take a checkpoint.
    Checkpoint,
    /// It is being stopped.
    Stop(action::StopReason),
    /// Its attempt ended.
    End(action::Outcome),
    /// It waits for a person.
    Park(action::ParkReason),
    /// It waits no longer for a person.
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
