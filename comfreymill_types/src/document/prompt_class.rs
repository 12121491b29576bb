use std::time::Duration;

use crate::id;
use crate::time;

/// Requirements of a class of prompt requests.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PromptClass {
    /// Service whose executors answer the requests.
    pub service: id::ServiceName,
    /// Time within which the response must be complete.
    pub deadline: time::Span,
    /// Maximum number of requests of the class in the queue of one entry.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
}

impl PromptClass {
    /// Upper limit of `deadline`; a request sent longer ago than this is no longer running.
    pub const MAX_DEADLINE: Duration = Duration::from_secs(30);
}

fn default_queue_limit() -> u32 {
    256
}
