use super::{Owner, StoredAnswer};

/// State of a keyed request.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestState {
    /// The owner is running the request or about to run it.
    Open(Owner),
    /// The request ran and was answered.
    Answered(StoredAnswer),
    /// The request may have run; its owner could not find out.
    Unknown,
}
