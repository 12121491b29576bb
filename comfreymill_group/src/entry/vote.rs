use crate::id;

/// Candidate that a vote was granted to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Vote {
    /// Id of the candidate.
    pub voter: id::VoterId,
    /// Disk of the candidate.
    pub disk: id::DiskId,
}
