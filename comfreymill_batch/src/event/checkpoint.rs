/// Point from which a later attempt can resume.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Checkpoint {
    /// Order of checkpoints across the attempts of a task; a greater one is later.
    pub sequence: u64,
    /// Data that the task needs to resume; opaque to the scheduler.
    pub data: bytes::Bytes,
}
