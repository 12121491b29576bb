use comfreymill_types::document;
use comfreymill_types::id;

use super::{AttemptView, Checkpoint, Heartbeat, LatencyReport, TaskView};
use crate::action;

/// Input of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// This node became leader; the event replaces the scheduler's tasks, attempts and workers.
    BecameLeader {
        /// Every task that is not over.
        tasks: Vec<TaskView>,
        /// Every attempt that the ledger records as started and not ended.
        attempts: Vec<AttemptView>,
    },
    /// A document came into force.
    DocumentInForce {
        /// Stage of the document.
        stage: document::Stage,
        /// Contents of the document.
        environment: Box<document::Environment>,
    },
    /// A task was committed, or was released by an operator after it was parked.
    TaskAdded(Box<TaskView>),
    /// The cancellation of a task was committed.
    TaskCancelled(id::TaskId),
    /// An [`action::Action::Start`] was committed.
    AttemptStarted(AttemptView),
    /// An [`action::Action::RecordCheckpoint`] was committed.
    CheckpointRecorded {
        /// Attempt that took the checkpoint.
        attempt: id::AttemptId,
        /// Recorded checkpoint.
        checkpoint: Checkpoint,
    },
    /// An [`action::Action::End`] was committed.
    AttemptEnded {
        /// Attempt that ended.
        attempt: id::AttemptId,
        /// How it ended.
        outcome: action::Outcome,
        /// Checkpoint recorded with the end.
        checkpoint: Option<Checkpoint>,
        /// Set if the task was parked by the same commit.
        park: Option<action::ParkReason>,
    },
    /// An [`action::Action::Park`] was committed.
    TaskParked {
        /// Parked task.
        task: id::TaskId,
        /// Why the task is parked.
        reason: action::ParkReason,
    },
    /// An [`action::Action::Unpark`] was committed.
    TaskUnparked(id::TaskId),
    /// An action that was proposed to the log will certainly never be committed.
    ProposalLost(Box<action::Action>),
    /// A worker sent a heartbeat.
    WorkerHeartbeat(Box<Heartbeat>),
    /// The latency of a service's executors on one worker was measured.
    ExecutorLatency(LatencyReport),
    /// A worker is leaving: it gets no new tasks and its tasks move to other workers.
    WorkerLeaving(id::WorkerName),
}
