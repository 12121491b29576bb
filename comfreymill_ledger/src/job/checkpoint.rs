use bytes::Bytes;

/// Saved state from which a later attempt resumes.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// Sequence number among the checkpoints of a task; later checkpoints have greater numbers.
    pub sequence: u64,
    /// Saved state of the task, opaque to the system.
    pub data: Bytes,
}
