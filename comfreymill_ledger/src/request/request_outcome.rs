use super::StoredAnswer;

/// Outcome of a keyed request, as reported by its owner.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// The request ran and was answered.
    Answered(StoredAnswer),
    /// The request certainly did not run; its key can be used again.
    NotRun,
    /// The request may have run.
    Unknown,
}
