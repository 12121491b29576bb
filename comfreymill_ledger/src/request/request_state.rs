use super::{Owner, StoredAnswer};

/// State of a keyed request.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestState {
    /// The owner runs it or is about to.
    Open(Owner),
    /// It ran and this is its answer.
    Answered(StoredAnswer),
    /// It may have run, and its owner cannot tell.
    Unknown,
}
