use comfreymill_types::document;
use comfreymill_types::id;

/// Identifies a grant by its executor and entry, each with its incarnation.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantKey {
    /// Environment that the executor serves.
    pub environment: id::EnvironmentName,
    /// Stage that the executor serves.
    pub stage: document::Stage,
    /// Executor whose slots are granted.
    pub executor: id::ExecutorName,
    /// Incarnation of the executor.
    pub executor_incarnation: id::Incarnation,
    /// Entry that may use the slots.
    pub entry: id::EntryName,
    /// Incarnation of the entry.
    pub entry_incarnation: id::Incarnation,
}
