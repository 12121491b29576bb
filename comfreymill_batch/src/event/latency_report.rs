use std::time::Duration;

use comfreymill_types::id;

/// Latency of a prompt service on one worker, measured over a window in the past.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LatencyReport {
    /// Worker whose executors were measured.
    pub worker: id::WorkerName,
    /// Service that was measured.
    pub service: id::ServiceName,
    /// 99th percentile of the response time over the window.
    pub p99: Duration,
    /// Time between the middle of the window and now.
    pub age: Duration,
}
