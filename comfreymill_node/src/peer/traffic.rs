use crate::metering::observe;

use super::Hello;

/// Byte counters of one direction of the traffic between this process and a peer.
pub(super) struct Traffic {
    peer: metrics::Counter,
    link: Option<metrics::Counter>,
}

impl Traffic {
    /// Creates the counters for the bytes that this process sends.
    pub(super) fn sent(ours: &Hello, peer: &Hello) -> Self {
        Self {
            peer: observe::peer_bytes(&peer.name, observe::Direction::Sent),
            link: link_counter(ours, peer),
        }
    }

    /// Creates the counters for the bytes that the peer sends.
    pub(super) fn received(ours: &Hello, peer: &Hello) -> Self {
        Self {
            peer: observe::peer_bytes(&peer.name, observe::Direction::Received),
            link: link_counter(peer, ours),
        }
    }

    pub(super) fn count(&self, bytes: usize) {
        self.peer.increment(bytes as u64);
        if let Some(link) = &self.link {
            link.increment(bytes as u64);
        }
    }
}

/// Counter of the link between two regions, or `None` within one region.
fn link_counter(from: &Hello, to: &Hello) -> Option<metrics::Counter> {
    (from.region != to.region).then(|| observe::link_bytes(&from.region, &to.region))
}
