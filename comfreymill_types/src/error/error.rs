use std::fmt;
use std::time::Duration;

use super::ErrorKind;

/// Error with a kind, a message and optional context.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Error {
    kind: ErrorKind,
    message: String,
    field: Option<String>,
    retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error of `kind` with a human-readable message.
    pub fn new<M>(kind: ErrorKind, message: M) -> Self
    where
        M: Into<String>,
    {
        Self { kind, message: message.into(), field: None, retry_after: None }
    }

    /// Returns the kind of the error.
    pub fn get_kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the human-readable message.
    pub fn get_message(&self) -> &str {
        &self.message
    }

    /// Returns the field that caused the error, if known.
    pub fn get_field(&self) -> Option<&str> {
        self.field.as_deref()
    }

    /// Returns the delay after which to retry, if known.
    pub fn get_retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

/// # Context
impl Error {
    /// Sets the field that caused the error.
    #[must_use]
    pub fn field<F>(mut self, field: F) -> Self
    where
        F: Into<String>,
    {
        self.field = Some(field.into());
        self
    }

    /// Sets the delay after which to retry.
    #[must_use]
    pub fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.field {
            Some(field) => write!(f, "{}: {field}: {}", self.kind, self.message),
            None => write!(f, "{}: {}", self.kind, self.message),
        }
    }
}

impl std::error::Error for Error {}
