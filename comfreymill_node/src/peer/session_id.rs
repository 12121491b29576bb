use std::fmt;

/// Number of a connection, unique within one run of the process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct SessionId(u64);

impl SessionId {
    /// Wraps the number.
    pub(super) fn new(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "s{}", self.0)
    }
}
