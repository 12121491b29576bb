use super::Percent;

/// What the worker shall do with an attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Directive {
    /// Run it at full speed.
    Run,
    /// Run it at a share of full speed.
    Throttle(Percent),
    /// Take a checkpoint and hold it.
    Checkpoint,
    /// Stop it and go on reporting it.
    Stop,
}
