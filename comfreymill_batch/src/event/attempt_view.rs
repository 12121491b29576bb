use comfreymill_types::id;
use comfreymill_types::size;

/// Attempt that the ledger records as started and not ended.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AttemptView {
    /// Identifier of the attempt.
    pub id: id::AttemptId,
    /// Worker that the attempt is placed on.
    pub worker: id::WorkerName,
    /// Incarnation of that worker; a later one does not run the attempt.
    pub incarnation: id::Incarnation,
    /// Resources reserved for the attempt.
    pub reserved: size::Resources,
}
