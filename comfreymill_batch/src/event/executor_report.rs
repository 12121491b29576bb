use comfreymill_types::id;
use comfreymill_types::size;

/// Report of one executor in a worker's heartbeat.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ExecutorReport {
    /// Name of the executor.
    pub executor: id::ExecutorName,
    /// Service whose requests the executor handles.
    pub service: id::ServiceName,
    /// Resources reserved for the executor.
    pub reserved: size::Resources,
    /// Measured use; its age is [`super::Heartbeat::usage_age`].
    pub usage: Option<size::Resources>,
}
