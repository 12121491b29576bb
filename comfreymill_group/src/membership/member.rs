use crate::id;
use crate::membership::Stage;

/// Member of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Member {
    /// Disk that it joined with.
    pub disk: id::DiskId,
    /// Part it takes.
    pub stage: Stage,
}

impl Member {
    /// Whether it votes.
    pub fn is_voter(self) -> bool {
        self.stage == Stage::Voter
    }
}
