use std::fmt;

/// What is known of whether the request was run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// It was proved not to have run.
    NotRun,
    /// It ran.
    Run,
    /// It may have run.
    Unknown,
}

impl RunState {
    /// Name in headers, logs and JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Run => "run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
