use std::fmt;

/// What is known about whether a request ran.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// The request is known not to have run.
    NotRun,
    /// The request ran.
    Run,
    /// The request may have run.
    Unknown,
}

impl RunState {
    /// Returns the name used in headers, logs and JSON.
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
