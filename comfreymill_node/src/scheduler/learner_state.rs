use std::fmt;
use std::time::Duration;

use comfreymill_group::id;
use comfreymill_group::replica;

use super::member_id;

/// What a learner lacks, as the leader knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LearnerState {
    /// Number of entries that the learner has not synced.
    pub behind: u64,
    /// Time for which this leader has known the learner as a member.
    pub member_for: Duration,
    /// Whether a snapshot is being sent to it.
    pub is_receiving_snapshot: bool,
    /// Time since its last response, if there was one.
    pub silent_for: Option<Duration>,
    /// Id of the learner.
    pub member: id::VoterId,
}

impl LearnerState {
    /// Creates the state of the learner `peer` of a leader whose log ends at `last`.
    #[must_use]
    pub fn new(peer: &replica::PeerStatus, last: id::Index) -> Self {
        Self {
            behind: last.distance_from(peer.matched),
            member_for: peer.tracked_for,
            is_receiving_snapshot: peer.is_receiving_snapshot,
            silent_for: peer.silent_for,
            member: peer.voter,
        }
    }
}

impl fmt::Display for LearnerState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} behind, {} ms member", self.behind, self.member_for.as_millis())?;
        if self.is_receiving_snapshot {
            f.write_str(", snapshot")?;
        }
        match self.silent_for {
            Some(silent_for) => write!(f, ", {} ms silent", silent_for.as_millis())?,
            None => f.write_str(", never heard")?,
        }
        write!(f, ", {}", member_id::name(self.member))
    }
}
