use std::time::Duration;

/// Bounds between which nothing changes, so that noisy reports do not make tasks flap.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hysteresis {
    /// Slowdown of a service, relative to alone, above which it is under pressure.
    pub upper: f64,
    /// Slowdown below which the pressure is over.
    pub lower: f64,
    /// Reports in a row above `upper` before a step up.
    pub raise_after: u32,
    /// Reports in a row below `lower` before a step down.
    pub relax_after: u32,
    /// Least time between two steps on one worker.
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
