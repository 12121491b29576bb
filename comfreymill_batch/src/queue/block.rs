use std::fmt;

/// Why no task of a lane can be placed now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Block {
    /// No allowed worker has room.
    NoRoom,
    /// Wherever there is room, a prompt service would be slowed too much.
    Interference,
    /// The team is at its quota.
    Quota,
    /// No document in force names the class.
    UnknownClass,
}

impl Block {
    /// What would lift the block.
    pub(crate) fn get_remedy(self) -> &'static str {
        match self {
            Self::NoRoom => "an attempt ends or a worker joins",
            Self::Interference => "a prompt service gets faster or a quieter worker has room",
            Self::Quota => "an attempt of the team ends or its quota is raised",
            Self::UnknownClass => "a document with the class comes into force",
        }
    }
}

impl fmt::Display for Block {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoRoom => "no allowed worker has room",
            Self::Interference => "it would slow a prompt service wherever there is room",
            Self::Quota => "the team is at its quota",
            Self::UnknownClass => "no document in force names its class",
        })
    }
}
