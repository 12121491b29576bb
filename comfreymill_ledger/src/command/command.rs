use comfreymill_types::id;
use comfreymill_types::size;

use crate::grant;
use crate::job;
use crate::request;

/// Change of the replicated state.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Puts a document in force in the trial stage.
    SubmitDocument {
        /// Operator's name of this change.
        operation: id::OperationId,
        /// Environment that the document describes.
        environment: id::EnvironmentName,
        /// Version of the document.
        version: id::Version,
        /// Version that it replaces.
        replaces: id::Version,
        /// Document as submitted.
        text: String,
    },
    /// Puts the trial document in force in production.
    PromoteDocument {
        /// Operator's name of this change.
        operation: id::OperationId,
        /// Environment of the document.
        environment: id::EnvironmentName,
        /// Digest of the document that was tried.
        digest: id::Digest,
    },
    /// Accepts a job.
    SubmitJob {
        /// Submitter's name of the job.
        key: id::IdempotencyKey,
        /// What is to run.
        spec: job::JobSpec,
        /// Whether a task of the class may run at most once.
        unrepeatable: bool,
    },
    /// Cancels what is left of a job.
    CancelJob {
        /// Job to cancel.
        job: id::JobId,
    },
    /// Starts an attempt on a worker.
    StartAttempt {
        /// Task and fencing token.
        attempt: id::AttemptId,
        /// Worker that runs it.
        worker: id::WorkerName,
        /// Life of the worker.
        incarnation: id::Incarnation,
        /// What is reserved for it.
        reserved: size::Resources,
    },
    /// Records a checkpoint of a running attempt.
    RecordCheckpoint {
        /// Attempt that took it.
        attempt: id::AttemptId,
        /// Where to resume.
        checkpoint: job::Checkpoint,
    },
    /// Ends an attempt that is confirmed gone.
    EndAttempt {
        /// Attempt that ended.
        attempt: id::AttemptId,
        /// How it ended.
        outcome: job::AttemptOutcome,
        /// Checkpoint to record with the end.
        checkpoint: Option<job::Checkpoint>,
        /// Set if the task is to wait for a person from then on.
        parking: Option<job::Parking>,
    },
    /// Parks a waiting task for a person.
    ParkTask {
        /// Task to park.
        task: id::TaskId,
        /// Why.
        parking: job::Parking,
    },
    /// Lets a parked task wait for a worker again.
    ReleaseTask {
        /// Task to release.
        task: id::TaskId,
    },
    /// Records that a keyed request is about to be sent.
    OpenRequest {
        /// Scope and key of the request.
        key: request::RequestKey,
        /// Digest of what was asked.
        digest: id::Digest,
        /// Entry that runs it.
        owner: request::Owner,
        /// Whether it may run at most once.
        unrepeatable: bool,
    },
    /// Records how a keyed request ended.
    CloseRequest {
        /// Scope and key of the request.
        key: request::RequestKey,
        /// Entry that ran it.
        owner: request::Owner,
        /// How it ended.
        outcome: request::RequestOutcome,
    },
    /// Changes slots granted to entries.
    ChangeGrants {
        /// Grants with their new number of slots.
        changes: Vec<grant::Grant>,
    },
}
