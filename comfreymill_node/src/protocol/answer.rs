use bytes::Bytes;
use comfreymill_ledger::request;
use comfreymill_types::error;
use comfreymill_types::id;

use super::{EntryLease, WorkerDirectives};

/// Result of a call: the leader's answer or an error.
pub type CallResult = Result<Answer, error::Error>;

/// Answer of the leader to a call.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// This process is not the leader of the group; the named voter, if any, may be.
    Redirect(Option<id::VoterName>),
    /// The operation is done.
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

/// State of a keyed request, as told to the entry that asked for it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyedRequest {
    /// The request is recorded, and the entry that asked is to run it.
    Opened,
    /// The request was recorded before, with this state.
    Known(request::RequestState),
    /// There is no record: the request is proved not to have run.
    Free,
}
