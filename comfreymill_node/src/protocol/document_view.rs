use std::sync::Arc;

use comfreymill_types::id;

use super::EnvironmentStage;

/// Document in force, as it is sent to entries.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentView {
    /// Environment and stage of the document.
    #[serde(rename = "desk")]
    pub environment_stage: EnvironmentStage,
    /// Version of the document.
    pub version: id::Version,
    /// Digest of the text.
    pub digest: id::Digest,
    /// Text of the document as submitted.
    pub text: Arc<str>,
    /// Log index of the entry that put the document into the stage.
    pub revision: u64,
}
