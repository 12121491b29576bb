use comfreymill_types::id;

use super::{DocumentView, ExecutorRow};

/// State that the leader sends to an entry without a call.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Push {
    /// All documents in force.
    Documents {
        /// Log index of the last change.
        revision: u64,
        /// Documents by environment and stage.
        documents: Vec<DocumentView>,
    },
    /// Executors whose row changed for this entry.
    Executors {
        /// Term of the leader.
        term: u64,
        /// Whether the rows are the whole table.
        is_whole: bool,
        /// New and changed rows.
        rows: Vec<ExecutorRow>,
        /// Executors to remove from the table.
        gone: Vec<id::ExecutorName>,
    },
}
