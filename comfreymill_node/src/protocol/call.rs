use comfreymill_ledger::request;
use comfreymill_types::id;

use super::{EntryHeartbeat, ExecutorAnnouncement, Operation, WorkerHeartbeat};

/// Call of an entry to the leader.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Call {
    /// Heartbeat of the entry.
    Heartbeat(EntryHeartbeat),
    /// An executor announced itself at the entry.
    Announce(ExecutorAnnouncement),
    /// A worker sent a heartbeat to the entry.
    WorkerHeartbeat(Box<WorkerHeartbeat>),
    /// An operator requested an operation at the entry.
    Operate(Operation),
    /// A keyed request is about to be sent.
    OpenRequest {
        /// Scope and key of the request.
        key: request::RequestKey,
        /// Digest of the request's content.
        digest: id::Digest,
        /// Whether the request may run at most once.
        unrepeatable: bool,
    },
    /// A keyed request ended at this entry.
    CloseRequest {
        /// Scope and key of the request.
        key: request::RequestKey,
        /// Outcome of the request.
        outcome: request::RequestOutcome,
    },
    /// Returns the state of a keyed request that another entry runs.
    ShowRequest(request::RequestKey),
}
