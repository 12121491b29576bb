/// Why a task waits for a person.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parking {
    /// Why, and what would make it run.
    pub reason: String,
    /// Scheduler's own record of the reason; empty where the ledger parked the task.
    pub cause: String,
}
