use comfreymill_batch::event;

/// What a worker says of itself about once a second.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerHeartbeat {
    /// Capacity, executors and attempts.
    pub report: event::Heartbeat,
    /// Late measurements of the executors on it.
    #[serde(default)]
    pub latencies: Vec<event::LatencyReport>,
}
