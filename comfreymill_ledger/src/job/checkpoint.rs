use bytes::Bytes;

/// Point from which a later attempt resumes.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// Order among the checkpoints of a task; a greater one is later.
    pub sequence: u64,
    /// What the task needs to resume, opaque to the system.
    pub data: Bytes,
}
