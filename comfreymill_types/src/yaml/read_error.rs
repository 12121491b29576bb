use std::fmt;

use serde::de;

use crate::document;

/// Reason why a node could not be deserialized.
#[derive(Debug)]
pub(super) enum ReadError {
    /// Message that has no location yet.
    Message(String),
    /// Missing required field.
    Missing(&'static str),
    /// Problem with its location.
    Problem(document::Problem),
    /// The problem is already in the report.
    Reported,
}

impl ReadError {
    /// Adds the location and path of the node to an error that has none.
    pub(super) fn at(self, location: (u64, u64), path: &str) -> Self {
        match self {
            Self::Message(message) => Self::Problem(document::Problem {
                location: Some(location),
                field: path.to_owned(),
                message,
            }),
            other => other,
        }
    }
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Message(message) => f.write_str(message),
            Self::Missing(field) => write!(f, "{field} is missing"),
            Self::Problem(problem) => problem.fmt(f),
            Self::Reported => f.write_str("the problem is already reported"),
        }
    }
}

impl std::error::Error for ReadError {}

impl de::Error for ReadError {
    fn custom<T>(message: T) -> Self
    where
        T: fmt::Display,
    {
        Self::Message(message.to_string())
    }

    fn missing_field(field: &'static str) -> Self {
        Self::Missing(field)
    }
}
