use comfreymill_types::error;
use comfreymill_types::id;
use comfreymill_types::time;

use super::Outcome;

/// Record of the decisions about one request and the figures that led to them.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Decision {
    /// Number of the request.
    pub request: u64,
    /// Class of the request.
    pub class: id::ClassName,
    /// Team that sent the request.
    pub team: id::TeamName,
    /// Steps in chronological order.
    pub steps: Vec<Step>,
}

/// One step in the handling of a request.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// An attempt was sent to an executor.
    Sent {
        /// Time of the step.
        at: time::Monotonic,
        /// Executor chosen.
        executor: id::ExecutorName,
        /// Incarnation of the executor.
        incarnation: id::Incarnation,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Cost of the executor when it was chosen.
        cost: u64,
        /// Number of the executor's slots that this entry used before the attempt.
        in_use: u32,
        /// Number of executors with a free slot in the entry's region.
        candidates: usize,
        /// Whether the executor is in another region.
        remote: bool,
    },
    /// The request was queued.
    Queued {
        /// Time of the step.
        at: time::Monotonic,
        /// Estimated wait, in microseconds.
        wait_micros: u64,
        /// Number of requests that were already queued for the service.
        ahead: usize,
    },
    /// An attempt ended.
    Ended {
        /// Time of the step.
        at: time::Monotonic,
        /// Number of the attempt; 0 if the request was still queued.
        attempt: u32,
        /// How the attempt ended.
        outcome: Outcome,
    },
    /// The request was refused with an error.
    Refused {
        /// Time of the step.
        at: time::Monotonic,
        /// Kind of the error.
        kind: error::ErrorKind,
    },
}
