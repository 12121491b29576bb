use std::sync::Arc;

use comfreymill_types::id;

use crate::command;

/// Document accepted in a stage.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentRecord {
    /// Version of the document.
    pub version: id::Version,
    /// Version that the document replaced in this stage.
    pub replaced: id::Version,
    /// Digest of the text.
    pub digest: id::Digest,
    /// Document as submitted.
    pub text: Arc<str>,
    /// Log index at which this stage accepted the document.
    pub revision: u64,
    /// Group time at which this stage accepted the document.
    pub at: command::GroupTime,
}
