use std::sync::Arc;

use comfreymill_types::id;

use crate::command;

/// Document that was accepted.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentRecord {
    /// Version of the document.
    pub version: id::Version,
    /// Version that it replaced in this stage.
    pub replaced: id::Version,
    /// Digest over the text.
    pub digest: id::Digest,
    /// Document as submitted.
    pub text: Arc<str>,
    /// Log index at which it came into this stage.
    pub revision: u64,
    /// Group time at which it came into this stage.
    pub at: command::GroupTime,
}
