use comfreymill_types::id;

use super::{DocumentView, ExecutorRow};

/// State that the leader sends to an entry unasked.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Push {
    /// Every document in force.
    Documents {
        /// Log index of the last change.
        revision: u64,
        /// Documents by environment and stage.
        documents: Vec<DocumentView>,
    },
    /// Executors that changed for this entry.
    Executors {
        /// Term of the leader.
        term: u64,
        /// Whether the rows are the whole table.
        is_whole: bool,
        /// New and changed rows.
        rows: Vec<ExecutorRow>,
        /// Executors that are gone.
        gone: Vec<id::ExecutorName>,
    },
}
