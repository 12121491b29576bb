use comfreymill_types::id;

use super::RequestState;
use crate::command;

/// Record of one keyed request.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestRecord {
    /// Digest of the request.
    pub digest: id::Digest,
    /// Whether the request must run at most once.
    pub unrepeatable: bool,
    /// Current state of the request.
    pub state: RequestState,
    /// Group time of the last state change.
    pub at: command::GroupTime,
}
