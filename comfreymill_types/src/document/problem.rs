use std::fmt;
use std::path;

/// One fault of a document, with its place where known.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Problem {
    /// Line and column, from 1.
    pub place: Option<(u64, u64)>,
    /// Path of the field, as `classes[2].deadline`.
    pub field: String,
    /// What is wrong and what is wanted.
    pub message: String,
}

impl Problem {
    /// Problem of `field` whose place is not known.
    pub fn new<F, M>(field: F, message: M) -> Self
    where
        F: Into<String>,
        M: Into<String>,
    {
        Self { place: None, field: field.into(), message: message.into() }
    }

    /// One line as `FILE:LINE:COLUMN: FIELD: MESSAGE`.
    pub fn in_file(&self, file: &path::Path) -> String {
        let gap = if self.place.is_none() { " " } else { "" };
        format!("{}:{gap}{self}", file.display())
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some((line, column)) = self.place {
            write!(f, "{line}:{column}: ")?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.message)
    }
}
