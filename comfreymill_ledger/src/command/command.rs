use comfreymill_types::id;
use comfreymill_types::size;

use crate::grant;
use crate::job;
use crate::request;

/// Change to the replicated state.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Makes a document the current one of the trial stage.
    SubmitDocument {
        /// Idempotency id that the operator gave this change.
        operation: id::OperationId,
        /// Environment that the document describes.
        environment: id::EnvironmentName,
        /// Version of the document.
        version: id::Version,
        /// Version that the document replaces.
        replaces: id::Version,
        /// Document as submitted.
        text: String,
    },
    /// Promotes the trial document to production.
    PromoteDocument {
        /// Idempotency id that the operator gave this change.
        operation: id::OperationId,
        /// Environment of the document.
        environment: id::EnvironmentName,
        /// Digest of the document to promote.
        digest: id::Digest,
    },
    /// Accepts a job.
    SubmitJob {
        /// Idempotency key that the submitter chose.
        key: id::IdempotencyKey,
        /// Specification of the job.
        spec: job::JobSpec,
        /// Whether tasks of the class must run at most once.
        unrepeatable: bool,
    },
    /// Cancels the tasks of a job that are not running, and keeps the running ones from being
    /// retried.
    CancelJob {
        /// Job to cancel.
        job: id::JobId,
    },
    /// Records that an attempt is started on a worker.
    StartAttempt {
        /// Task, and attempt number as the fencing token.
        attempt: id::AttemptId,
        /// Worker that runs the attempt.
        worker: id::WorkerName,
        /// Incarnation of the worker.
        incarnation: id::Incarnation,
        /// Resources reserved for the attempt.
        reserved: size::Resources,
    },
    /// Records a checkpoint of a running attempt.
    RecordCheckpoint {
        /// Attempt that took the checkpoint.
        attempt: id::AttemptId,
        /// Checkpoint to resume from.
        checkpoint: job::Checkpoint,
    },
    /// Ends an attempt that is confirmed to run no longer.
    EndAttempt {
        /// Attempt that ended.
        attempt: id::AttemptId,
        /// Outcome of the attempt.
        outcome: job::AttemptOutcome,
        /// Last checkpoint of the attempt, recorded together with its outcome.
        checkpoint: Option<job::Checkpoint>,
        /// Reason to park the task until an operator releases it, if it is to be parked.
        parking: Option<job::Parking>,
    },
    /// Parks a waiting task until an operator releases it.
    ParkTask {
        /// Task to park.
        task: id::TaskId,
        /// Reason why the task is parked.
        parking: job::Parking,
    },
    /// Returns a parked task to the waiting state.
    ReleaseTask {
        /// Task to release.
        task: id::TaskId,
    },
    /// Records that a keyed request is about to be sent.
    OpenRequest {
        /// Scope and key of the request.
        key: request::RequestKey,
        /// Digest of the request.
        digest: id::Digest,
        /// Entry process that handles the request.
        owner: request::Owner,
        /// Whether the request must run at most once.
        unrepeatable: bool,
    },
    /// Records the outcome of a keyed request.
    CloseRequest {
        /// Scope and key of the request.
        key: request::RequestKey,
        /// Entry process that handled the request.
        owner: request::Owner,
        /// Outcome of the request.
        outcome: request::RequestOutcome,
    },
    /// Changes the executor slots granted to entries.
    ChangeGrants {
        /// Changed grants with their new number of slots.
        changes: Vec<grant::Grant>,
    },
}
