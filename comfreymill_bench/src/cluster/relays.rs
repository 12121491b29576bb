use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use super::relay::Relay;

/// Process of a cluster.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Place {
    /// Control process of this number.
    Control(usize),
    /// Entry of this number.
    Entry(usize),
}

/// Bytes on one way between two processes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Traffic {
    /// Process that opened the connections.
    pub from: Place,
    /// Control process that accepted them.
    pub to: usize,
    /// Bytes sent to the control process.
    pub there: u64,
    /// Bytes sent back.
    pub back: u64,
}

/// Relays by the process that connects and the control process that it connects to.
#[derive(Debug, Default)]
pub(super) struct Relays {
    by_way: BTreeMap<(Place, usize), Relay>,
}

impl Relays {
    /// Address at which `from` finds the control process `to`.
    pub(super) fn add(
        &mut self,
        host: Ipv4Addr,
        from: Place,
        to: usize,
        target: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let relay = Relay::start(host, target)?;
        let address = relay.get_address();
        self.by_way.insert((from, to), relay);
        Ok(address)
    }

    /// Bytes on each way so far.
    pub(super) fn get_traffic(&self) -> Vec<Traffic> {
        let traffic = |((from, to), relay): (&(Place, usize), &Relay)| {
            let (there, back) = relay.get_bytes();
            Traffic { from: *from, to: *to, there, back }
        };
        self.by_way.iter().map(traffic).collect()
    }

    /// Cuts or mends every way between a place of `some` and one of `others`.
    pub(super) fn set_cut(&self, some: &[Place], others: &[Place], is_cut: bool) {
        for ((from, to), relay) in &self.by_way {
            let to = Place::Control(*to);
            let goes = some.contains(from) && others.contains(&to);
            let comes = others.contains(from) && some.contains(&to);
            if goes || comes {
                relay.set_cut(is_cut);
            }
        }
    }

    /// Cuts or mends the way on which `from` connects to the control process `to`, alone.
    pub(super) fn set_way_cut(&self, from: Place, to: usize, is_cut: bool) {
        if let Some(relay) = self.by_way.get(&(from, to)) {
            relay.set_cut(is_cut);
        }
    }
}
