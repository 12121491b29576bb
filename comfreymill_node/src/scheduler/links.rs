use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use comfreymill_group::id;
use comfreymill_group::message;

use super::member_id;
use crate::peer;

/// Connections over which messages are sent to other members, by address.
#[derive(Debug)]
pub(super) struct Links {
    identity: peer::Identity,
    peers_port: u16,
    links: BTreeMap<Ipv4Addr, flume::Sender<peer::Frame>>,
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
            tx
        });
        // The replication protocol retransmits lost messages.
        link.try_send(peer::Frame::group(message)).ok();
    }

    /// Closes the links to addresses for which `is_needed` returns false.
    pub(super) fn retain<F>(&mut self, is_needed: F)
    where
        F: Fn(Ipv4Addr) -> bool,
    {
        self.links.retain(|address, _| is_needed(*address));
    }
}
