use std::time::Duration;

use crate::id;
use crate::time;

/// What a class of prompt requests asks of the system.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PromptClass {
    /// Service whose executors answer.
    pub service: id::ServiceName,
    /// Time within which the answer must be complete.
    pub deadline: time::Span,
    /// Most requests of the class that wait at one entry.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
}

impl PromptClass {
    /// Longest deadline of a class; what was sent longer ago no longer runs.
    pub const MAX_DEADLINE: Duration = Duration::from_secs(30);
}

fn default_queue_limit() -> u32 {
    256
}
