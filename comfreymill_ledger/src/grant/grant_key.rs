use comfreymill_types::document;
use comfreymill_types::id;

/// Executor and entry that a grant joins.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantKey {
    /// Environment that the executor serves.
    pub environment: id::EnvironmentName,
    /// Stage that the executor serves.
    pub stage: document::Stage,
    /// Executor whose slots are granted.
    pub executor: id::ExecutorName,
    /// Life of the executor.
    pub executor_incarnation: id::Incarnation,
    /// Entry that may use them.
    pub entry: id::EntryName,
    /// Life of the entry.
    pub entry_incarnation: id::Incarnation,
}
