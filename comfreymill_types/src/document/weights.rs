/// What the customer weighs: the three measures of the brief.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Tail latency of the prompt services.
    pub tail_latency: f64,
    /// Batch throughput.
    pub throughput: f64,
    /// Evictions.
    pub evictions: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { tail_latency: 1.0, throughput: 1.0, evictions: 1.0 }
    }
}
