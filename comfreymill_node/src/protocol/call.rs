use comfreymill_ledger::request;
use comfreymill_types::id;

use super::{EntryHeartbeat, ExecutorAnnouncement, Operation, WorkerHeartbeat};

/// Request of an entry to the leader.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Call {
    /// The entry is alive.
    Heartbeat(EntryHeartbeat),
    /// An executor announced itself at the entry.
    Announce(ExecutorAnnouncement),
    /// A worker reported at the entry.
    WorkerHeartbeat(Box<WorkerHeartbeat>),
    /// An operator asked the entry.
    Operate(Operation),
    /// A keyed request is about to be sent.
    OpenRequest {
        /// Scope and key.
        key: request::RequestKey,
        /// Digest of what is asked.
        digest: id::Digest,
        /// Whether it may run at most once.
        unrepeatable: bool,
    },
    /// A keyed request ended at this entry.
    CloseRequest {
        /// Scope and key.
        key: request::RequestKey,
        /// How it ended.
        outcome: request::RequestOutcome,
    },
    /// Show a keyed request that another entry runs.
    ShowRequest(request::RequestKey),
}
