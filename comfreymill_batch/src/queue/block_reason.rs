use std::fmt;

/// Reason why no task of a lane can be placed now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BlockReason {
    /// No worker that the placement rule allows has room.
    NoRoom,
    /// On every worker with room, a prompt service would be slowed too much.
    Interference,
    /// The task would exceed the quota of its team.
    Quota,
    /// No document in force defines the class.
    UnknownClass,
}

impl BlockReason {
    /// Returns what would make the lane ready again.
    pub(crate) fn get_remedy(self) -> &'static str {
        match self {
            Self::NoRoom => "an attempt ends or a worker joins",
            Self::Interference => "a prompt service gets faster or a quieter worker has room",
            Self::Quota => "an attempt of the team ends or its quota is raised",
            Self::UnknownClass => "a document with the class comes into force",
        }
    }
}

impl fmt::Display for BlockReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoRoom => "no allowed worker has room",
            Self::Interference => "it would slow a prompt service wherever there is room",
            Self::Quota => "the team is at its quota",
            Self::UnknownClass => "no document in force names its class",
        })
    }
}
