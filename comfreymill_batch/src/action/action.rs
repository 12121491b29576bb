use comfreymill_types::id;

use super::{Outcome, ParkReason, Percent, StopReason};
use crate::event;

/// What the scheduler asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Commit the start of an attempt.
    Start {
        /// Attempt with its worker and size.
        attempt: event::AttemptView,
        /// Checkpoint it begins from.
        checkpoint: Option<event::Checkpoint>,
    },
    /// Commit a checkpoint.
    RecordCheckpoint {
        /// Attempt that took it.
        attempt: id::AttemptId,
        /// Checkpoint.
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
        /// Set if the task is parked by the same commit, as it may have run and must not again.
        park: Option<ParkReason>,
    },
    /// Commit that a task waits for a person.
    Park {
        /// Task.
        task: id::TaskId,
        /// Why.
        reason: ParkReason,
    },
    /// Commit that a parked task can run after all.
    Unpark {
        /// Task.
        task: id::TaskId,
    },
    /// An attempt is being stopped.
    Stop {
        /// Attempt.
        attempt: id::AttemptId,
        /// Why.
        reason: StopReason,
    },
    /// An attempt's speed changed.
    Throttle {
        /// Attempt.
        attempt: id::AttemptId,
        /// Share of full speed.
        percent: Percent,
    },
    /// An attempt is to take a checkpoint.
    TakeCheckpoint {
        /// Attempt.
        attempt: id::AttemptId,
    },
    /// A worker is set aside.
    Quarantine {
        /// Worker.
        worker: id::WorkerName,
    },
    /// A worker is let back.
    Release {
        /// Worker.
        worker: id::WorkerName,
    },
}
