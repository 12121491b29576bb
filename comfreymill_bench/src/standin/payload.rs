/// Payload of a task for a stand-in worker, encoded as JSON.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Payload {
    /// Run time of the task in milliseconds at full speed. Without it, the task never ends by
    /// itself.
    pub work_ms: Option<u64>,
    /// Whether the task fails when its work is done.
    pub fails: bool,
}
