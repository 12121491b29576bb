use std::time::Duration;

/// Thresholds of the response to slow prompt services. Between `lower` and `upper` nothing
/// changes, so that noisy reports do not make tasks flap.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hysteresis {
    /// Slowdown of a service, relative to running alone, above which it is under pressure.
    pub upper: f64,
    /// Slowdown, relative to running alone, below which the pressure is over.
    pub lower: f64,
    /// Consecutive reports above `upper` before a task is slowed or evicted.
    pub raise_after: u32,
    /// Consecutive reports below `lower` before a throttled task is sped up.
    pub relax_after: u32,
    /// Minimum time between two such steps on one worker.
    pub settle: Duration,
}

impl Default for Hysteresis {
    fn default() -> Self {
        Self {
            upper: 1.10,
            lower: 1.05,
            raise_after: 3,
            relax_after: 10,
            settle: Duration::from_secs(5),
        }
    }
}
