use std::fmt;

/// Why a replica refuses a pre-vote or a vote.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Refusal {
    /// The reason is not known: an earlier build refused, or none of the reasons below applies.
    Unknown,
    /// The lease of a leader may still be valid.
    RecentLeader,
    /// The log of the candidate ends before that of this replica.
    OlderLog,
    /// A write of this replica is not synced.
    WriteNotSynced,
    /// This replica has voted for another candidate in the term.
    VotedForAnother,
    /// This replica is a candidate itself and may still win.
    ElectionInProgress,
    /// The term of the candidate is over.
    OlderTerm,
    /// The request is addressed to the former disk of this replica.
    OtherDisk,
    /// The group has removed the candidate.
    RemovedCandidate,
}

impl Refusal {
    const ALL: [Self; 9] = [
        Self::Unknown,
        Self::RecentLeader,
        Self::OlderLog,
        Self::WriteNotSynced,
        Self::VotedForAnother,
        Self::ElectionInProgress,
        Self::OlderTerm,
        Self::OtherDisk,
        Self::RemovedCandidate,
    ];

    /// Returns the answer that a response gives by its fields.
    pub(super) fn from_answer(granted: bool, code: u32) -> Result<(), Self> {
        if granted { Ok(()) } else { Err(Self::from_code(code)) }
    }

    /// Returns the number that stands for the reason in messages.
    pub fn code(self) -> u32 {
        let position = Self::ALL.iter().position(|reason| *reason == self);
        position.and_then(|position| u32::try_from(position).ok()).unwrap_or_default()
    }

    /// Returns the reason of a number in a message; later builds may know more reasons.
    pub fn from_code(code: u32) -> Self {
        let position = usize::try_from(code).ok();
        position.and_then(|position| Self::ALL.get(position)).copied().unwrap_or(Self::Unknown)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unknown => "unknown",
            Self::RecentLeader => "recent leader",
            Self::OlderLog => "older log",
            Self::WriteNotSynced => "own write not synced",
            Self::VotedForAnother => "already voted for another",
            Self::ElectionInProgress => "election in progress here",
            Self::OlderTerm => "older term",
            Self::OtherDisk => "other disk",
            Self::RemovedCandidate => "removed candidate",
        })
    }
}
