use std::fmt;
use std::time::Duration;

use super::ErrorKind;

/// Error with its kind and what is known of its context.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Error {
    kind: ErrorKind,
    message: String,
    field: Option<String>,
    retry_after: Option<Duration>,
}

impl Error {
    /// Error of `kind` with a message for people.
    pub fn new<M>(kind: ErrorKind, message: M) -> Self
    where
        M: Into<String>,
    {
        Self { kind, message: message.into(), field: None, retry_after: None }
    }

    /// Kind of the error.
    pub fn get_kind(&self) -> ErrorKind {
        self.kind
    }

    /// Message for people.
    pub fn get_message(&self) -> &str {
        &self.message
    }

    /// Field that is at fault.
    pub fn get_field(&self) -> Option<&str> {
        self.field.as_deref()
    }

    /// Time after which to try again.
    pub fn get_retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

/// # Context
impl Error {
    /// Names the field that is at fault.
    #[must_use]
    pub fn field<F>(mut self, field: F) -> Self
    where
        F: Into<String>,
    {
        self.field = Some(field.into());
        self
    }

    /// Sets the time after which to try again.
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
