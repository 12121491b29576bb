use bytes::Bytes;
use comfreymill_ledger::request;
use comfreymill_types::error;
use comfreymill_types::id;

use super::{EntryLease, WorkerDirectives};

/// Reply to a call.
pub type CallResult = Result<Answer, error::Error>;

/// Reply of the leader.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// This process does not lead the group; the named one may.
    Redirect(Option<id::VoterName>),
    /// It is done.
    Done,
    /// Answer to an entry's heartbeat.
    Lease(EntryLease),
    /// Answer to a worker's heartbeat.
    Directives(WorkerDirectives),
    /// State of a keyed request.
    Request(KeyedRequest),
    /// Answer to an operator, as JSON text.
    Json(Bytes),
}

/// State of a keyed request towards the entry that asked.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyedRequest {
    /// The entry that asked shall run it.
    Opened,
    /// It was there before.
    Known(request::RequestState),
    /// There is no record; it was proved not to have run.
    Free,
}
