use super::StoredAnswer;

/// How a keyed request ended at its owner.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// It ran and this is its answer.
    Answered(StoredAnswer),
    /// It was proved not to have run; the key is free again.
    NotRun,
    /// It may have run.
    Unknown,
}
