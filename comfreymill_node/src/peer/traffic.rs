use crate::metering::observe;

use super::Hello;

/// Counters of the bytes that go one way between this process and a peer.
pub(super) struct Traffic {
    peer: metrics::Counter,
    link: Option<metrics::Counter>,
}

impl Traffic {
    /// Counters of what this process sends.
    pub(super) fn sent(ours: &Hello, peer: &Hello) -> Self {
        Self {
            peer: observe::peer_bytes(&peer.name, observe::Direction::Sent),
            link: link(ours, peer),
        }
    }

    /// Counters of what the peer sends.
    pub(super) fn received(ours: &Hello, peer: &Hello) -> Self {
        Self {
            peer: observe::peer_bytes(&peer.name, observe::Direction::Received),
            link: link(peer, ours),
        }
    }

    pub(super) fn count(&self, bytes: usize) {
        self.peer.increment(bytes as u64);
        if let Some(link) = &self.link {
            link.increment(bytes as u64);
        }
    }
}

fn link(from: &Hello, to: &Hello) -> Option<metrics::Counter> {
    (from.region != to.region).then(|| observe::link_bytes(&from.region, &to.region))
}
