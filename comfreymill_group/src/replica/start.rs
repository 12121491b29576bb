use crate::id;

/// How a replica with an empty data folder begins.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Start {
    /// As one of the first voters of a new group. The lowest id founds the group once every
    /// voter answered.
    Found {
        /// All first voters, this replica included.
        voters: Vec<id::VoterId>,
    },
    /// As a replica that an operator will add as a learner.
    Join {
        /// Members to announce itself to.
        peers: Vec<id::VoterId>,
    },
}

impl Start {
    /// Replicas named by the settings.
    pub fn peers(&self) -> &[id::VoterId] {
        match self {
            Self::Found { voters } => voters,
            Self::Join { peers } => peers,
        }
    }

    /// Replica that founds the group.
    pub fn founder(&self) -> Option<id::VoterId> {
        match self {
            Self::Found { voters } => voters.iter().min().copied(),
            Self::Join { .. } => None,
        }
    }
}
