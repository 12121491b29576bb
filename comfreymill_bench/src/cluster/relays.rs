use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use super::relay::Relay;

/// Identifies a process of a cluster.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Place {
    /// Control process with this index.
    Control(usize),
    /// Entry with this index.
    Entry(usize),
}

/// Bytes transferred on the connections that one process opened to a control process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Traffic {
    /// Process that opened the connections.
    pub from: Place,
    /// Index of the control process that accepted them.
    pub to: usize,
    /// Bytes sent to the control process.
    pub sent: u64,
    /// Bytes that the control process sent back.
    pub received: u64,
}

/// Relays of a cluster, by the connecting process and the index of the control process.
#[derive(Debug, Default)]
pub(super) struct Relays {
    by_link: BTreeMap<(Place, usize), Relay>,
}

impl Relays {
    /// Starts a relay to `target`, and returns the address by which `from` reaches the control
    /// process `to`.
    pub(super) fn add(
        &mut self,
        host: Ipv4Addr,
        from: Place,
        to: usize,
        target: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let relay = Relay::start(host, target)?;
        let address = relay.get_address();
        self.by_link.insert((from, to), relay);
        Ok(address)
    }

    /// Returns the bytes transferred through each relay so far.
    pub(super) fn get_traffic(&self) -> Vec<Traffic> {
        let traffic = |((from, to), relay): (&(Place, usize), &Relay)| {
            let (sent, received) = relay.get_bytes();
            Traffic { from: *from, to: *to, sent, received }
        };
        self.by_link.iter().map(traffic).collect()
    }

    /// Blocks or restores all traffic between a process of `some` and one of `others`.
    pub(super) fn set_cut(&self, some: &[Place], others: &[Place], is_cut: bool) {
        for ((from, to), relay) in &self.by_link {
            let to = Place::Control(*to);
            let is_outgoing = some.contains(from) && others.contains(&to);
            let is_incoming = others.contains(from) && some.contains(&to);
            if is_outgoing || is_incoming {
                relay.set_cut(is_cut);
            }
        }
    }

    /// Blocks or restores only the connections that `from` opens to the control process `to`.
    pub(super) fn set_link_cut(&self, from: Place, to: usize, is_cut: bool) {
        if let Some(relay) = self.by_link.get(&(from, to)) {
            relay.set_cut(is_cut);
        }
    }
}
