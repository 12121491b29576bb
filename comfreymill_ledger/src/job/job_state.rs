/// State of a job as a whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// At least one task is waiting or running.
    Active,
    /// No task is waiting or running, and at least one is parked.
    Parked,
    /// All tasks are finished.
    Finished,
    /// The job was cancelled and no task is waiting or running.
    Cancelled,
}
