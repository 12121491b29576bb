/// Progress of an attempt when it ended without finishing.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// The program had not started.
    NotBegun,
    /// No work was done after the checkpoint of the report.
    AtCheckpoint,
    /// Work was done that no checkpoint covers.
    PastCheckpoint,
}
