use comfreymill_types::id;

use super::RequestState;
use crate::command;

/// Record of one keyed request.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestRecord {
    /// Digest of what was asked.
    pub digest: id::Digest,
    /// Whether it may run at most once.
    pub unrepeatable: bool,
    /// State of the request.
    pub state: RequestState,
    /// Group time of the last change.
    pub at: command::GroupTime,
}
