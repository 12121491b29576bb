use std::fmt;
use std::sync::Arc;

/// Name that a worker gives itself; a later life may use it again.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct WorkerName(Arc<str>);

impl WorkerName {
    /// Wraps `name`.
    pub fn new(name: &str) -> Self {
        Self(name.into())
    }

    /// Text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for WorkerName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
