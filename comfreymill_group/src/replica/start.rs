use crate::id;

/// How a replica with an empty data folder starts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Start {
    /// As one of the first voters of a new group. The voter with the lowest id founds the group
    /// once every other one has accepted it.
    Found {
        /// All first voters, including this replica.
        voters: Vec<id::VoterId>,
    },
    /// As a replica that an operator will add as a learner.
    Join {
        /// Members that the replica announces itself to.
        peers: Vec<id::VoterId>,
    },
}

impl Start {
    /// Returns the replicas named by the settings.
    pub fn peers(&self) -> &[id::VoterId] {
        match self {
            Self::Found { voters } => voters,
            Self::Join { peers } => peers,
        }
    }

    /// Returns the replica that founds the group, or `None` for a joining replica.
    pub fn founder(&self) -> Option<id::VoterId> {
        match self {
            Self::Found { voters } => voters.iter().min().copied(),
            Self::Join { .. } => None,
        }
    }
}
