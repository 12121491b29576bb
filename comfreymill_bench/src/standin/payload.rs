/// What a stand-in worker is told of a task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Payload {
    /// Work of the task, in milliseconds at full speed; none means that it has no end.
    pub work_ms: Option<u64>,
    /// Whether it fails when its work is done.
    pub fails: bool,
}
