use comfreymill_types::id;
use comfreymill_types::size;

use super::Parking;

/// State of a task.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// It waits for a worker.
    Waiting,
    /// An attempt of it runs or is being started.
    Running {
        /// Worker that runs it.
        worker: id::WorkerName,
        /// Life of the worker.
        incarnation: id::Incarnation,
        /// What is reserved for it.
        reserved: size::Resources,
    },
    /// It is done.
    Finished,
    /// It waits for a person.
    Parked(Parking),
    /// It was cancelled.
    Cancelled,
}
