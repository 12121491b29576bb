use crate::id;

/// Options to open a store: the expected identity and the maximum length of segments.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    group: id::GroupId,
    voter: id::VoterId,
    segment_bytes: u64,
    accepts_stored_voter: bool,
}

impl Options {
    /// Creates options with segments of 8 MiB.
    pub fn new(group: id::GroupId, voter: id::VoterId) -> Self {
        Self { group, voter, segment_bytes: 8 * 1024 * 1024, accepts_stored_voter: false }
    }

    /// Sets the length in bytes at which a new segment is started.
    #[must_use]
    pub fn segment_bytes(mut self, bytes: u64) -> Self {
        self.segment_bytes = bytes;
        self
    }

    /// Accepts a folder that was created with another voter id, and uses that id. The id given to
    /// [`Options::new`] then only applies to an empty folder.
    #[must_use]
    pub fn accept_stored_voter(mut self) -> Self {
        self.accepts_stored_voter = true;
        self
    }

    /// Returns whether a folder with another voter id is accepted.
    pub fn get_accepts_stored_voter(&self) -> bool {
        self.accepts_stored_voter
    }

    /// Returns the id of the group.
    pub fn get_group(&self) -> id::GroupId {
        self.group
    }

    /// Returns the voter id of the replica.
    pub fn get_voter(&self) -> id::VoterId {
        self.voter
    }

    /// Returns the length in bytes at which a new segment is started.
    pub fn get_segment_bytes(&self) -> u64 {
        self.segment_bytes
    }
}
