use comfreymill_batch::event;

/// Heartbeat that a worker sends about once a second.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerHeartbeat {
    /// Capacity, executors and attempts of the worker.
    pub report: event::Heartbeat,
    /// Late latency measurements of the executors on the worker.
    #[serde(default)]
    pub latencies: Vec<event::LatencyReport>,
}
