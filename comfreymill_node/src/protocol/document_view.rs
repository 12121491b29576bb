use std::sync::Arc;

use comfreymill_types::id;

use super::DeskKey;

/// Document in force, as sent to entries.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentView {
    /// Environment and stage.
    pub desk: DeskKey,
    /// Version of the document.
    pub version: id::Version,
    /// Digest over the text.
    pub digest: id::Digest,
    /// Document as submitted.
    pub text: Arc<str>,
    /// Log index at which it came into the stage.
    pub revision: u64,
}
