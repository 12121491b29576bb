use super::{Command, GroupTime};

/// Log entry: a command and the leader's group time when it was proposed.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Group time when the command was proposed.
    pub at: GroupTime,
    /// Proposed change.
    pub command: Command,
}
