use comfreymill_ledger::job;
use comfreymill_types::document;
use comfreymill_types::id;

use super::VoterChange;

/// Operation that an operator requests.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Operation {
    /// Submits a document to the trial stage.
    SubmitDocument {
        /// Id of the operation, chosen by the operator; the same when it is resent.
        operation: id::OperationId,
        /// Environment named in the path of the request.
        environment: id::EnvironmentName,
        /// Version that the document replaces.
        replaces: id::Version,
        /// Text of the document.
        text: String,
    },
    /// Promotes the trial document to production.
    PromoteDocument {
        /// Id of the operation, chosen by the operator; the same when it is resent.
        operation: id::OperationId,
        /// Environment of the document.
        environment: id::EnvironmentName,
        /// Digest of the trial document.
        digest: id::Digest,
    },
    /// Returns a document.
    GetDocument {
        /// Environment of the document.
        environment: id::EnvironmentName,
        /// Stage of the document.
        stage: document::Stage,
    },
    /// Returns the versions in force at the nodes.
    EnvironmentStatus {
        /// Environment whose status is returned.
        environment: id::EnvironmentName,
    },
    /// Submits a job.
    SubmitJob {
        /// Idempotency key of the job, chosen by the submitter.
        key: id::IdempotencyKey,
        /// Specification of the job.
        spec: job::JobSpec,
    },
    /// Returns one job.
    GetJob(id::JobId),
    /// Lists jobs.
    ListJobs,
    /// Cancels a job.
    CancelJob(id::JobId),
    /// Lets a parked task run again.
    ReleaseTask(id::TaskId),
    /// Returns the history of decisions about a task.
    Explain(id::TaskId),
    /// Changes the voters of the group.
    ChangeVoter {
        /// Voter to change.
        voter: id::VoterName,
        /// Change to make.
        change: VoterChange,
    },
    /// Returns the state of the group, its nodes, workers and executors.
    Status,
}
