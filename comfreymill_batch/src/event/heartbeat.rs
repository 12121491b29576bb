use std::time::Duration;

use comfreymill_types::id;
use comfreymill_types::size;

use super::{AttemptReport, ExecutorReport};

/// What a worker says of itself about once per period.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// Worker that sent it.
    pub worker: id::WorkerName,
    /// Life of the worker; a restart brings a greater one.
    pub incarnation: id::Incarnation,
    /// Number of the heartbeat in this life, rising.
    pub sequence: u64,
    /// Region of the worker.
    pub region: id::RegionName,
    /// Availability zone of the worker.
    pub zone: id::ZoneName,
    /// Rack of the worker.
    pub rack: id::RackName,
    /// What the VM has.
    pub capacity: size::Resources,
    /// Executors on the worker.
    pub executors: Vec<ExecutorReport>,
    /// Every attempt known to the worker, ended ones until an answer no longer lists them.
    pub attempts: Vec<AttemptReport>,
    /// Whether the worker is about to stop and wants its tasks moved.
    pub leaving: bool,
    /// Age of the measured use in it.
    pub usage_age: Duration,
}
