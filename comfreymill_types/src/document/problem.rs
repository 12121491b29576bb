use std::fmt;
use std::path;

/// Problem found in a document or settings file.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Problem {
    /// Line and column of the problem, both counted from 1; `None` if unknown.
    #[serde(rename = "place")]
    pub location: Option<(u64, u64)>,
    /// Path of the field, such as `classes[2].deadline`; empty for the whole file.
    pub field: String,
    /// What is wrong and what is expected instead.
    pub message: String,
}

impl Problem {
    /// Creates a problem of `field` without a location.
    pub fn new<F, M>(field: F, message: M) -> Self
    where
        F: Into<String>,
        M: Into<String>,
    {
        Self { location: None, field: field.into(), message: message.into() }
    }

    /// Formats the problem as one line, `FILE:LINE:COLUMN: FIELD: MESSAGE`.
    pub fn in_file(&self, file: &path::Path) -> String {
        let gap = if self.location.is_none() { " " } else { "" };
        format!("{}:{gap}{self}", file.display())
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some((line, column)) = self.location {
            write!(f, "{line}:{column}: ")?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.message)
    }
}
