/// Place from which a task resumes.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// Worker's own name of the saved state.
    pub location: String,
    /// Progress in thousandths of the task.
    pub progress_permille: u32,
}
