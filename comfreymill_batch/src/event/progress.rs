/// How far an attempt had come when it ended without finishing.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// Its program had not begun.
    NotBegun,
    /// Nothing was done after the checkpoint of the report.
    AtCheckpoint,
    /// Work was done that no checkpoint holds.
    PastCheckpoint,
}
