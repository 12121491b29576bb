use comfreymill_types::document;
use comfreymill_types::id;

use super::{AttemptView, Checkpoint, Heartbeat, LatencyReport, TaskView};
use crate::action;

/// What the scheduler is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// This node began to lead; replaces all that was known.
    BecameLeader {
        /// Every task that is not over.
        tasks: Vec<TaskView>,
        /// Every attempt on record as started and not ended.
        attempts: Vec<AttemptView>,
    },
    /// A document is in force.
    DocumentInForce {
        /// Stage of the document.
        stage: document::Stage,
        /// Document.
        environment: Box<document::Environment>,
    },
    /// A task was committed, or released by a person after it was parked.
    TaskAdded(Box<TaskView>),
    /// A cancellation was committed.
    TaskCancelled(id::TaskId),
    /// An [`action::Action::Start`] was committed.
    AttemptStarted(AttemptView),
    /// An [`action::Action::RecordCheckpoint`] was committed.
    CheckpointRecorded {
        /// Attempt that took it.
        attempt: id::AttemptId,
        /// Checkpoint on record.
        checkpoint: Checkpoint,
    },
    /// An [`action::Action::End`] was committed.
    AttemptEnded {
        /// Attempt that ended.
        attempt: id::AttemptId,
        /// How it ended.
        outcome: action::Outcome,
        /// Checkpoint recorded with it.
        checkpoint: Option<Checkpoint>,
        /// Set if the task was parked by the same commit.
        park: Option<action::ParkReason>,
    },
    /// An [`action::Action::Park`] was committed.
    TaskParked {
        /// Task that waits for a person.
        task: id::TaskId,
        /// Why.
        reason: action::ParkReason,
    },
    /// An [`action::Action::Unpark`] was committed.
    TaskUnparked(id::TaskId),
    /// An action that was to be committed is known never to be.
    ProposalLost(Box<action::Action>),
    /// A worker reported.
    WorkerHeartbeat(Box<Heartbeat>),
    /// Executors of a service were measured.
    ExecutorLatency(LatencyReport),
    /// A worker is leaving: it gets no new task and its tasks move.
    WorkerLeaving(id::WorkerName),
}
