use comfreymill_types::id;
use comfreymill_types::size;

/// Attempt that the ledger holds as started and not ended.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AttemptView {
    /// Attempt.
    pub id: id::AttemptId,
    /// Worker that it was given to.
    pub worker: id::WorkerName,
    /// Life of the worker that it was given to.
    pub incarnation: id::Incarnation,
    /// What is reserved for it.
    pub reserved: size::Resources,
}
