use super::{Command, GroupTime};

/// Record of the log: a command and the leader's time at which it was proposed.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Group time of the proposal.
    pub at: GroupTime,
    /// Change that is proposed.
    pub command: Command,
}
