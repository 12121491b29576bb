use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use comfreymill_group::id;
use comfreymill_group::message;

use super::member_id;
use crate::peer;

/// Time without a message after which the connection to an address that is no member's is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(1);

/// Connections over which messages are sent to other members, by address.
#[derive(Debug)]
pub(super) struct Links {
    identity: peer::Identity,
    peers_port: u16,
    links: BTreeMap<Ipv4Addr, Link>,
}

/// Connection to one address.
#[derive(Debug)]
struct Link {
    frames: flume::Sender<peer::Frame>,
    used_at: Instant,
}

impl Links {
    /// Creates an empty set of links that identify this process by `identity`.
    pub(super) fn new(identity: peer::Identity, peers_port: u16) -> Self {
        Self { identity, peers_port, links: BTreeMap::new() }
    }

    /// Queues a message for a member; it is dropped if the member's queue is full.
    pub(super) fn send(&mut self, to: id::VoterId, message: &message::Message) {
        let address = member_id::address(to);
        let link = self.links.entry(address).or_insert_with(|| {
            let (tx, rx) = flume::bounded(peer::MAX_QUEUED_MESSAGES);
            let socket = SocketAddr::new(IpAddr::V4(address), self.peers_port);
            monoio::spawn(peer::link(address, socket, self.identity.clone(), rx));
            Link { frames: tx, used_at: Instant::now() }
        });
        link.used_at = Instant::now();
        // The replication protocol retransmits lost messages.
        link.frames.try_send(peer::Frame::group(message)).ok();
    }

    /// Closes the idle links to addresses for which `is_member` returns false.
    pub(super) fn close_idle<F>(&mut self, is_member: F)
    where
        F: Fn(Ipv4Addr) -> bool,
    {
        self.links
            .retain(|address, link| link.used_at.elapsed() < IDLE_LIMIT || is_member(*address));
    }
}
