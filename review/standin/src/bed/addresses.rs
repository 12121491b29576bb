use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{SystemTime, UNIX_EPOCH};

pub(super) const PEERS_PORT: u16 = 7720;
pub(super) const CONTROL_PORT: u16 = 8166;
pub(super) const CALLERS_PORT: u16 = 8161;
pub(super) const READY_PORT: u16 = 8167;
pub(super) const METRICS_PORT: u16 = 9600;
pub(super) const EXECUTOR_PORT: u16 = 8329;

/// Network of loopback addresses, one address for each machine; ports are the same on all.
#[derive(Clone, Copy, Debug)]
pub(super) struct Addresses {
    second: u8,
    third: u8,
}

impl Addresses {
    /// Chooses a network on which all ports are free.
    pub(super) fn choose(machines: u8) -> Option<Self> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let seed = u64::from(std::process::id()) ^ u64::from(now.subsec_nanos());
        let ports =
            [PEERS_PORT, CONTROL_PORT, CALLERS_PORT, READY_PORT, METRICS_PORT, EXECUTOR_PORT];
        (0..50).map(|attempt: u64| seed.wrapping_add(attempt * 977)).find_map(|seed| {
            let addresses =
                Self { second: 64 + (seed % 128) as u8, third: 1 + (seed / 128 % 250) as u8 };
            let is_free = (1..=machines).all(|machine| {
                let is_free = |port| TcpListener::bind((addresses.machine(machine), port)).is_ok();
                ports.into_iter().all(is_free)
            });
            is_free.then_some(addresses)
        })
    }

    /// Returns the address of a machine.
    pub(super) fn machine(self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, number)
    }

    pub(super) fn at(self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.machine(machine), port))
    }
}
