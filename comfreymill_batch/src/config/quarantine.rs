use std::time::Duration;

/// Rules for when a worker that fails its tasks is quarantined, and when it is probed again.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Quarantine {
    /// Number of distinct tasks that fail on a worker, without a success in between, before it is
    /// quarantined.
    pub tasks: u32,
    /// Time before the first probe.
    pub first_wait: Duration,
    /// Maximum time before a probe; each failed probe doubles the wait up to it.
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
