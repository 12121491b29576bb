use crate::id;
use crate::membership::MemberKind;

/// Disk and voting right of a group member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Member {
    /// Disk that the member joined with.
    pub disk: id::DiskId,
    /// Whether the member is a learner or a voter.
    pub kind: MemberKind,
}

impl Member {
    /// Returns whether the member is a voter.
    pub fn is_voter(self) -> bool {
        self.kind == MemberKind::Voter
    }
}
