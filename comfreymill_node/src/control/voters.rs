//! Connections to the other voters, which transport the group's messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use comfreymill_group::id as group_id;
use comfreymill_group::message;
use comfreymill_types::id;

use crate::peer;

/// Outgoing queues to the other voters, and the names of all voters.
#[derive(Debug, Default)]
pub(super) struct Voters {
    links: BTreeMap<group_id::VoterId, flume::Sender<peer::Frame>>,
    names: BTreeMap<group_id::VoterId, id::VoterName>,
}

/// Returns the replica id of a voter, which depends only on its name and so is the same in every
/// process.
pub(super) fn replica_id(name: &id::VoterName) -> group_id::VoterId {
    group_id::VoterId::new(hash_name(name.as_str()))
}

/// Returns a nonzero hash of a name, which is the same in every process.
pub(super) fn hash_name(name: &str) -> u64 {
    let digest = id::Digest::of(name.as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest.as_bytes()[..8]);
    // Zero means that there is no replica id.
    u64::from_be_bytes(prefix) | 1
}

impl Voters {
    /// Spawns a connection task for each other voter.
    pub(super) fn start(
        own: &id::VoterName,
        voters: &[(id::VoterName, SocketAddr)],
        identity: &peer::Identity,
    ) -> Self {
        let mut this = Self::default();
        for (name, address) in voters {
            let id = replica_id(name);
            this.names.insert(id, name.clone());
            if name == own {
                continue;
            }
            let (tx, rx) = flume::bounded(peer::MAX_QUEUED_MESSAGES);
            this.links.insert(id, tx);
            monoio::spawn(peer::link(name.clone(), *address, identity.clone(), rx));
        }
        this
    }

    /// Queues a message for a voter; the message is dropped if the queue is full or closed.
    pub(super) fn send(&self, to: group_id::VoterId, message: &message::Message) {
        if let Some(link) = self.links.get(&to) {
            // The group's protocol resends lost messages.
            link.try_send(peer::Frame::group(message)).ok();
        }
    }

    /// Returns the name of a voter.
    pub(super) fn name(&self, id: group_id::VoterId) -> Option<&id::VoterName> {
        self.names.get(&id)
    }
}
