use comfreymill_ledger::job;
use comfreymill_types::document;
use comfreymill_types::id;

use super::VoterChange;

/// What an operator asks.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Operation {
    /// Put a document into the trial stage.
    SubmitDocument {
        /// Operator's name of this change.
        operation: id::OperationId,
        /// Environment in the path.
        environment: id::EnvironmentName,
        /// Version that it replaces.
        replaces: id::Version,
        /// Document.
        text: String,
    },
    /// Put the trial document into production.
    PromoteDocument {
        /// Operator's name of this change.
        operation: id::OperationId,
        /// Environment of the document.
        environment: id::EnvironmentName,
        /// Digest of the document that was tried.
        digest: id::Digest,
    },
    /// Show a document.
    GetDocument {
        /// Environment of the document.
        environment: id::EnvironmentName,
        /// Stage of the document.
        stage: document::Stage,
    },
    /// Show where documents are in force.
    EnvironmentStatus {
        /// Environment asked about.
        environment: id::EnvironmentName,
    },
    /// Submit a job.
    SubmitJob {
        /// Submitter's name of the job.
        key: id::IdempotencyKey,
        /// What is to run.
        spec: job::JobSpec,
    },
    /// Show one job.
    GetJob(id::JobId),
    /// List jobs.
    ListJobs,
    /// Cancel a job.
    CancelJob(id::JobId),
    /// Let a parked task run again.
    ReleaseTask(id::TaskId),
    /// Show the history of decisions on a task.
    Explain(id::TaskId),
    /// Change the members of the group.
    ChangeVoter {
        /// Voter concerned.
        voter: id::VoterName,
        /// What becomes of it.
        change: VoterChange,
    },
    /// Show the group, its nodes, workers and executors.
    Status,
}
