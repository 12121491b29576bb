use std::fmt;
use std::sync::Arc;

/// Name that a worker chooses for itself; a later incarnation may reuse it.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct WorkerName(Arc<str>);

impl WorkerName {
    /// Creates a worker name from `name`.
    pub fn new(name: &str) -> Self {
        Self(name.into())
    }

    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for WorkerName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
