use std::time::Duration;

/// When a worker that fails its tasks is set aside, and when it is tried again.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Quarantine {
    /// Different tasks that fail on the worker without a success in between.
    pub tasks: u32,
    /// Time before the first probe.
    pub first_wait: Duration,
    /// Longest time before a probe; each failed probe doubles the wait.
    pub longest_wait: Duration,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            tasks: 3,
            first_wait: Duration::from_secs(30),
            longest_wait: Duration::from_secs(3_600),
        }
    }
}
