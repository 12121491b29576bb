/// Relative weights of the customer's three scheduling objectives, each from 0 to 1000.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Weight of low tail latency of the prompt services.
    pub tail_latency: f64,
    /// Weight of batch throughput.
    pub throughput: f64,
    /// Weight of avoiding evictions.
    pub evictions: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { tail_latency: 1.0, throughput: 1.0, evictions: 1.0 }
    }
}
