use comfreymill_types::id;

/// Log record that sets the number of an executor's slots granted to an entry.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct GrantChange {
    /// Executor whose slots are granted.
    pub executor: id::ExecutorName,
    /// Incarnation of the executor.
    pub executor_incarnation: id::Incarnation,
    /// Entry that holds the grant.
    pub entry: id::EntryName,
    /// Incarnation of the entry.
    pub entry_incarnation: id::Incarnation,
    /// Number of slots granted; zero ends the grant.
    pub slots: u32,
    /// Epoch of the change; increases across leaders.
    pub epoch: u64,
}
