use comfreymill_types::id;

/// Slots of an executor that the entry may still use, as reported to the leader.
///
/// The report confirms that the entry applied the grant of `epoch` and uses at most `slots` under
/// that grant.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Holding {
    /// Executor whose slots are held.
    pub executor: id::ExecutorName,
    /// Incarnation of the executor.
    pub incarnation: id::Incarnation,
    /// Epoch of the latest grant applied.
    pub epoch: u64,
    /// Maximum number of slots that the entry uses or will use under this epoch.
    pub slots: u32,
}
