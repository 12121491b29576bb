use std::time::Duration;

use comfreymill_types::id;
use comfreymill_types::size;

use super::{AttemptReport, ExecutorReport};

/// Periodic report of a worker about its resources, executors and attempts.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// Worker that sent the heartbeat.
    pub worker: id::WorkerName,
    /// Incarnation of the worker; greater after each restart.
    pub incarnation: id::Incarnation,
    /// Number of the heartbeat within the incarnation, increasing.
    pub sequence: u64,
    /// Region of the worker.
    pub region: id::RegionName,
    /// Availability zone of the worker.
    pub zone: id::ZoneName,
    /// Rack of the worker.
    pub rack: id::RackName,
    /// Total resources of the VM.
    pub capacity: size::Resources,
    /// Executors on the worker.
    pub executors: Vec<ExecutorReport>,
    /// Every attempt known to the worker. Ended ones stay until an answer no longer lists them.
    pub attempts: Vec<AttemptReport>,
    /// Whether the worker is about to stop and wants its tasks moved.
    pub leaving: bool,
    /// Age of the measured use in the heartbeat.
    pub usage_age: Duration,
}
