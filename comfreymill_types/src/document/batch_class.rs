use crate::size;
use crate::time;

/// Requirements of a class of batch or standing tasks.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchClass {
    /// Declared resource request of one task.
    pub size: size::Resources,
    /// Declared run time of one task; `None` for a standing task.
    #[serde(default)]
    pub run_time: Option<time::Span>,
    /// Cost of evicting one task, as a multiple of the default cost.
    #[serde(default = "default_eviction_price")]
    pub eviction_price: f64,
    /// Number of failures on distinct workers after which a task is parked.
    #[serde(default = "default_failure_limit")]
    pub failure_limit: u32,
}

fn default_eviction_price() -> f64 {
    1.0
}

fn default_failure_limit() -> u32 {
    3
}
