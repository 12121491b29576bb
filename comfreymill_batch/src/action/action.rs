use comfreymill_types::id;

use super::{Outcome, ParkReason, Percent, StopReason};
use crate::event;

/// Output of the scheduler: a record to commit, or a change to the answers to workers.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Commit the start of an attempt.
    Start {
        /// Attempt with its worker and reserved size.
        attempt: event::AttemptView,
        /// Checkpoint that the attempt resumes from.
        checkpoint: Option<event::Checkpoint>,
    },
    /// Commit a checkpoint.
    RecordCheckpoint {
        /// Attempt that took the checkpoint.
        attempt: id::AttemptId,
        /// Checkpoint to record.
        checkpoint: event::Checkpoint,
    },
    /// Commit the end of an attempt.
    End {
        /// Attempt that ended.
        attempt: id::AttemptId,
        /// How it ended.
        outcome: Outcome,
        /// Checkpoint to record with the end.
        checkpoint: Option<event::Checkpoint>,
        /// Set if the same commit parks the task, because the task may run at most once and may
        /// already have run.
        park: Option<ParkReason>,
    },
    /// Commit that a task is parked.
    Park {
        /// Task to park.
        task: id::TaskId,
        /// Why the task is parked.
        reason: ParkReason,
    },
    /// Commit that a parked task can run after all.
    Unpark {
        /// Task to unpark.
        task: id::TaskId,
    },
    /// An attempt is being stopped.
    Stop {
        /// Attempt that is being stopped.
        attempt: id::AttemptId,
        /// Why the attempt is stopped.
        reason: StopReason,
    },
    /// The speed of an attempt changed.
    Throttle {
        /// Attempt whose speed changed.
        attempt: id::AttemptId,
        /// New speed, as a share of full speed.
        percent: Percent,
    },
    /// An attempt is to take a checkpoint.
    TakeCheckpoint {
        /// Attempt that is to take the checkpoint.
        attempt: id::AttemptId,
    },
    /// A worker is quarantined.
    Quarantine {
        /// Worker that failed its tasks.
        worker: id::WorkerName,
    },
    /// A worker is released from quarantine.
    Release {
        /// Worker whose probe succeeded.
        worker: id::WorkerName,
    },
}
