use crate::id;

/// Replica that a vote was given to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Vote {
    /// Candidate.
    pub voter: id::VoterId,
    /// Disk of the candidate.
    pub disk: id::DiskId,
}
