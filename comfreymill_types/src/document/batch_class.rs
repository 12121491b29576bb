use crate::size;
use crate::time;

/// What a class of batch tasks or standing tasks asks of the system.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchClass {
    /// Declared need of one task.
    pub size: size::Resources,
    /// Declared run time of one task; none for a standing task.
    #[serde(default)]
    pub run_time: Option<time::Span>,
    /// Price of one eviction, as a multiple of the usual one.
    #[serde(default = "default_eviction_price")]
    pub eviction_price: f64,
    /// Failures on separate workers after which the task is parked.
    #[serde(default = "default_failure_limit")]
    pub failure_limit: u32,
}

fn default_eviction_price() -> f64 {
    1.0
}

fn default_failure_limit() -> u32 {
    3
}
