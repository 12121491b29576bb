use comfreymill_types::id;
use comfreymill_types::size;

use super::Parking;

/// State of a task.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// The task waits for a worker.
    Waiting,
    /// An attempt is running or being started.
    Running {
        /// Worker that runs the attempt.
        worker: id::WorkerName,
        /// Incarnation of the worker.
        incarnation: id::Incarnation,
        /// Resources reserved for the attempt.
        reserved: size::Resources,
    },
    /// An attempt finished the task.
    Finished,
    /// The task is held until an operator releases it.
    Parked(Parking),
    /// The task was cancelled.
    Cancelled,
}
