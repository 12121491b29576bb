use crate::id;

/// Replica that a folder belongs to, and the sizes of its files.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    group: id::GroupId,
    voter: id::VoterId,
    segment_bytes: u64,
    keeps_voter: bool,
}

impl Options {
    /// Options with the default sizes.
    pub fn new(group: id::GroupId, voter: id::VoterId) -> Self {
        Self { group, voter, segment_bytes: 8 * 1024 * 1024, keeps_voter: false }
    }

    /// Length from which on a segment is followed by a new one.
    #[must_use]
    pub fn segment_bytes(mut self, bytes: u64) -> Self {
        self.segment_bytes = bytes;
        self
    }

    /// Lets a folder that is in use keep the id that it was made with; the id given here is for an
    /// empty one.
    #[must_use]
    pub fn keep_voter(mut self) -> Self {
        self.keeps_voter = true;
        self
    }

    /// Whether a folder that is in use keeps the id that it was made with.
    pub fn get_keeps_voter(&self) -> bool {
        self.keeps_voter
    }

    /// Group of the replica.
    pub fn get_group(&self) -> id::GroupId {
        self.group
    }

    /// Id of the replica.
    pub fn get_voter(&self) -> id::VoterId {
        self.voter
    }

    /// Length from which on a segment is followed by a new one.
    pub fn get_segment_bytes(&self) -> u64 {
        self.segment_bytes
    }
}
