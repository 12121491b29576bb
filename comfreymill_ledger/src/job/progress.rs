/// How far an attempt had come when it ended without finishing.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// Its program had not begun.
    NotBegun,
    /// Nothing was done after the last checkpoint.
    AtCheckpoint,
    /// Work was, or may have been, done that no checkpoint holds.
    PastCheckpoint,
}
