/// Progress of an attempt that ended without finishing its task.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// The program of the attempt had not started.
    NotBegun,
    /// The attempt did no work after its last checkpoint.
    AtCheckpoint,
    /// The attempt did, or may have done, work that no checkpoint contains.
    PastCheckpoint,
}
