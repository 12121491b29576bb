/// Reason why a task is parked.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parking {
    /// Human-readable reason, with what would make the task run.
    pub reason: String,
    /// Scheduler's own record of the reason; empty if the ledger parked the task.
    pub cause: String,
}
