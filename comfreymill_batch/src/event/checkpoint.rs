/// Point from which a later attempt can resume.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Checkpoint {
    /// Attempt-independent order; a greater one is later.
    pub sequence: u64,
    /// What the task needs to resume, opaque to the system.
    pub data: bytes::Bytes,
}
