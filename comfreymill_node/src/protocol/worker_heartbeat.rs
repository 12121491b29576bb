use comfreymill_batch::event;
use comfreymill_types::document;
use comfreymill_types::time;

use super::UpstreamState;

/// What a worker says of itself about once a second.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerHeartbeat {
    /// Stage whose tasks it runs.
    #[serde(default = "default_stage")]
    pub stage: document::Stage,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: UpstreamState,
    /// Capacity, executors and attempts.
    pub report: event::Heartbeat,
    /// Late measurements of the executors on it.
    #[serde(default)]
    pub latencies: Vec<event::LatencyReport>,
    /// Time between sending this and the last answer; zero for the first.
    #[serde(default)]
    pub last_round_trip: time::Span,
}

fn default_stage() -> document::Stage {
    document::Stage::Production
}
