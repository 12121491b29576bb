use super::Percent;

/// What a worker must do with an attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Directive {
    /// Run the attempt at full speed.
    Run,
    /// Run the attempt at a share of full speed.
    Throttle(Percent),
    /// Take a checkpoint and pause the attempt.
    Checkpoint,
    /// Stop the attempt and keep reporting it.
    Stop,
}
