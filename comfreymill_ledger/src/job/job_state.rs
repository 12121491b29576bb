/// State of a job as a whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// Tasks are left to run.
    Active,
    /// No task can run without a person.
    Parked,
    /// Every task finished.
    Finished,
    /// It was cancelled.
    Cancelled,
}
