use comfreymill_types::id;

/// What this entry may still use of an executor, as told to the granting leader.
///
/// It states that the entry applied the grant of `epoch` and, under it, uses at most `slots`.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Holding {
    /// Executor that granted slots.
    pub executor: id::ExecutorName,
    /// Life of the executor.
    pub incarnation: id::Incarnation,
    /// Epoch of the grant applied.
    pub epoch: u64,
    /// Most slots that the entry uses or will use under this epoch.
    pub slots: u32,
}
