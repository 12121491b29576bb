use crate::state;

/// When an announcement may be acknowledged.
#[derive(Clone, Debug, PartialEq)]
#[must_use]
pub enum Acknowledgement {
    /// At once.
    Now,
    /// Once the command is committed.
    Committed(state::Command),
    /// Not yet: the worker has to announce itself again once its incarnation is in the log.
    OnceAdded,
}
