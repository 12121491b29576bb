use comfreymill_types::id;
use comfreymill_types::size;

/// One executor in a worker's heartbeat.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ExecutorReport {
    /// Name of the executor.
    pub executor: id::ExecutorName,
    /// Service that it answers for.
    pub service: id::ServiceName,
    /// What is reserved for it.
    pub reserved: size::Resources,
    /// Measured use, of the age that the heartbeat states.
    pub usage: Option<size::Resources>,
}
