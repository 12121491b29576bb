use comfreymill_types::error;
use comfreymill_types::id;
use comfreymill_types::time;

use super::Outcome;

/// Record of what was decided for one request and why.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Decision {
    /// Number of the request.
    pub request: u64,
    /// Class of the request.
    pub class: id::ClassName,
    /// Team that asked.
    pub team: id::TeamName,
    /// Steps in order.
    pub steps: Vec<Step>,
}

/// One step of a request's way.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// An executor was chosen.
    Sent {
        /// When.
        at: time::Monotonic,
        /// Executor chosen.
        executor: id::ExecutorName,
        /// Life of the executor.
        incarnation: id::Incarnation,
        /// Number of the attempt.
        attempt: u32,
        /// Cost of the executor in the choice.
        cost: u64,
        /// Requests that this entry had there before.
        in_use: u32,
        /// Executors with a free slot in the entry's own region.
        candidates: usize,
        /// Whether it is in another region.
        remote: bool,
    },
    /// It had to wait.
    Queued {
        /// When.
        at: time::Monotonic,
        /// Wait foreseen, in microseconds.
        wait_micros: u64,
        /// Requests that waited for the service.
        ahead: usize,
    },
    /// An attempt ended.
    Ended {
        /// When.
        at: time::Monotonic,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
    },
    /// The caller got an error.
    Refused {
        /// When.
        at: time::Monotonic,
        /// Kind of the error.
        kind: error::ErrorKind,
    },
}
