use comfreymill_types::id;

/// Slots of an executor that an entry holds from now on, for the group's log.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct GrantChange {
    /// Executor that grants.
    pub executor: id::ExecutorName,
    /// Life of the executor.
    pub executor_incarnation: id::Incarnation,
    /// Entry that holds the grant.
    pub entry: id::EntryName,
    /// Life of the entry.
    pub entry_incarnation: id::Incarnation,
    /// Slots granted; zero ends the grant.
    pub slots: u32,
    /// Epoch of the grant.
    pub epoch: u64,
}
