use std::sync::Arc;
use std::time::Duration;

use comfreymill_types::time;

use crate::id;
use crate::job;

/// Order to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Starts a run.
    Start {
        /// Worker that gets the order.
        worker: id::WorkerNumber,
        /// Task to start.
        task: id::TaskId,
        /// Number of the run.
        run: id::Run,
        /// Specification of the job, which has the payload.
        spec: Arc<job::JobSpec>,
        /// End of the worker's lease on the worker's clock, in milliseconds.
        lease_until_ms: u64,
        /// Checkpoint to resume from; empty if there is none.
        checkpoint: String,
        /// Time after which the order must not be sent any more: by then the job may have been
        /// cancelled, or the worker may have said that it is leaving.
        valid_until: time::Monotonic,
    },
    /// Stops a run; the worker refuses a start of the run that arrives later.
    Stop {
        /// Worker that gets the order.
        worker: id::WorkerNumber,
        /// Task to stop.
        task: id::TaskId,
        /// Number of the run.
        run: id::Run,
    },
    /// Renews the lease and asks for a report of runs and ends.
    Poll {
        /// Worker that gets the order.
        worker: id::WorkerNumber,
        /// Number of the last end that was recorded; the worker may forget ends up to it.
        noted: u64,
        /// End of the lease on the worker's clock, in milliseconds; without it, the lease is not
        /// renewed.
        lease_until_ms: Option<u64>,
        /// Time for which the worker may delay the answer until a run ends.
        wait: Duration,
    },
    /// Limits a run to a share of its full speed.
    Pace {
        /// Worker that gets the order.
        worker: id::WorkerNumber,
        /// Task whose pace is set.
        task: id::TaskId,
        /// Number of the run.
        run: id::Run,
        /// Share of full speed, in percent.
        percent: u32,
    },
}

impl Order {
    /// Returns the worker that gets the order.
    pub fn worker(&self) -> id::WorkerNumber {
        match self {
            Self::Start { worker, .. }
            | Self::Stop { worker, .. }
            | Self::Poll { worker, .. }
            | Self::Pace { worker, .. } => *worker,
        }
    }

    /// Returns whether the decision behind the order is too old for it to be sent at `now`.
    pub fn has_expired(&self, now: time::Monotonic) -> bool {
        matches!(self, Self::Start { valid_until, .. } if now > *valid_until)
    }

    /// Returns the run that the order concerns; a poll concerns none.
    pub fn run(&self) -> Option<(id::TaskId, id::Run)> {
        match self {
            Self::Start { task, run, .. }
            | Self::Stop { task, run, .. }
            | Self::Pace { task, run, .. } => Some((*task, *run)),
            Self::Poll { .. } => None,
        }
    }

    /// Returns the task that the order concerns; a poll concerns none.
    pub fn task(&self) -> Option<id::TaskId> {
        match self {
            Self::Start { task, .. } | Self::Stop { task, .. } | Self::Pace { task, .. } => {
                Some(*task)
            }
            Self::Poll { .. } => None,
        }
    }
}
