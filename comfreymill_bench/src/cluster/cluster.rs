use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use super::config::ClusterConfig;
use super::folder::Folder;
use super::relays::Relays;
use super::settings_text::{self, ControlAddresses, ZONES};
use super::{EntryAddresses, Place, Process, Traffic};

const FIRST_NUMBER: u8 = 2;
const RELAY_NUMBER: u8 = 252;
const PORT_POLL: Duration = Duration::from_millis(5);
const KEY: &str = "a key that only the tests' own clusters hold";

/// Control processes and entries of one cluster.
#[derive(Debug)]
pub struct Cluster {
    /// Control processes, including the spares, which [`Cluster::start`] does not start.
    pub controls: Vec<Process>,
    /// Entry processes.
    pub entries: Vec<Process>,
    addresses: Vec<EntryAddresses>,
    operators: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    relays: Relays,
    _folder: Folder,
}

impl Cluster {
    /// Bearer token that the processes accept from operators.
    pub const TOKEN: &str = "operators-of-the-tests";

    /// Starts a cluster.
    ///
    /// # Errors
    ///
    /// A file cannot be written or a process cannot be started.
    pub fn start(cfg: &ClusterConfig) -> io::Result<Self> {
        let folder = Folder::new()?;
        folder.write("cluster.key", KEY)?;
        folder.write("operators.token", Self::TOKEN)?;
        let host = host(folder.get_number());
        // All ports are reserved in one call, so that none is assigned twice.
        let count = cfg.controls + cfg.spares;
        let ports = reserve(host, 2 * count + 4 * cfg.entries)?;
        let (controls, entries) = ports.split_at(2 * count);
        let addresses: Vec<_> = controls
            .chunks(2)
            .map(|pair| ControlAddresses { peers: pair[0], operators: pair[1] })
            .collect();
        let mut cluster = Self {
            controls: Vec::new(),
            entries: Vec::new(),
            addresses: Vec::new(),
            operators: addresses.iter().map(|control| control.operators).collect(),
            peers: addresses.iter().map(|control| control.peers).collect(),
            relays: Relays::default(),
            _folder: folder,
        };
        for index in 0..count {
            std::fs::create_dir_all(cluster._folder.get_path().join(format!("data-{index}")))?;
            let voters = cluster.voters(cfg, relay_host(), Place::Control(index), &addresses)?;
            let text = settings_text::control(cfg, addresses[index], &voters, index);
            let process = cluster.process(cfg, "control", index, &text)?;
            cluster.controls.push(process);
        }
        for (index, ports) in entries.chunks(4).enumerate() {
            let own =
                EntryAddresses { callers: ports[0], upstreams: ports[1], operators: ports[2] };
            let voters = cluster.voters(cfg, relay_host(), Place::Entry(index), &addresses)?;
            let text = settings_text::entry(cfg, &voters, own, ports[3], index);
            let process = cluster.process(cfg, "entry", index, &text)?;
            cluster.entries.push(process);
            cluster.addresses.push(own);
        }
        for process in cluster.controls.iter_mut().take(cfg.controls).chain(&mut cluster.entries) {
            process.start()?;
        }
        Ok(cluster)
    }

    /// Returns the addresses of an entry.
    pub fn get_entry(&self, index: usize) -> EntryAddresses {
        self.addresses[index]
    }

    /// Returns a control process's address for operators.
    pub fn get_control(&self, index: usize) -> SocketAddr {
        self.operators[index]
    }

    /// Returns a control process's address for peers.
    pub fn get_peers(&self, index: usize) -> SocketAddr {
        self.peers[index]
    }

    /// Returns each entry's address for upstreams.
    pub fn get_upstreams(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|entry| entry.upstreams).collect()
    }

    /// Returns the region and availability zone of process `index`.
    pub fn get_zone(index: usize) -> (&'static str, &'static str) {
        ZONES[index % ZONES.len()]
    }

    /// Empties the data folder of a control process that is not running.
    ///
    /// # Errors
    ///
    /// The folder cannot be emptied.
    pub fn lose_disk(&self, index: usize) -> io::Result<()> {
        let path = self._folder.get_path().join(format!("data-{index}"));
        std::fs::remove_dir_all(&path)?;
        std::fs::create_dir_all(&path)
    }

    /// Returns the logs of all processes, for the report of a failed test.
    pub fn get_logs(&self) -> String {
        let all = self.controls.iter().chain(&self.entries);
        let part =
            |process: &Process| format!("== {}\n{}", process.log.display(), process.get_log());
        all.map(part).collect()
    }

    /// Returns the bytes transferred through each relay.
    pub fn get_traffic(&self) -> Vec<Traffic> {
        self.relays.get_traffic()
    }

    /// Blocks all traffic between two sets of processes, and leaves connections open.
    pub fn cut(&self, some: &[Place], others: &[Place]) {
        self.relays.set_cut(some, others, true);
    }

    /// Restores the traffic between two sets of processes.
    pub fn heal(&self, some: &[Place], others: &[Place]) {
        self.relays.set_cut(some, others, false);
    }

    /// Blocks or restores traffic on connections that `from` opens to a control process.
    pub fn set_link_cut(&self, from: Place, to: usize, is_cut: bool) {
        self.relays.set_link_cut(from, to, is_cut);
    }

    /// Returns the voters' addresses for one process's settings, with a relay for each if the
    /// cluster has relays.
    fn voters(
        &mut self,
        cfg: &ClusterConfig,
        host: Ipv4Addr,
        from: Place,
        all: &[ControlAddresses],
    ) -> io::Result<Vec<SocketAddr>> {
        let mut addresses = Vec::new();
        for (to, control) in all.iter().enumerate() {
            let is_direct = !cfg.is_relayed || from == Place::Control(to);
            let address = if is_direct {
                control.peers
            } else {
                self.relays.add(host, from, to, control.peers)?
            };
            addresses.push(address);
        }
        Ok(addresses)
    }

    fn process(
        &self,
        cfg: &ClusterConfig,
        program: &'static str,
        index: usize,
        text: &str,
    ) -> io::Result<Process> {
        let settings = self._folder.write(&format!("{program}-{index}.yaml"), text)?;
        let log = self._folder.get_path().join(format!("{program}-{index}.log"));
        Ok(Process { binary: cfg.binary.clone(), program, settings, log, child: None })
    }
}

/// Returns the loopback address of a cluster. It is unique in this process, up to the number of
/// addresses, and unlikely to be shared with another process.
fn host(number: u32) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number =
        u8::try_from(number % u32::from(RELAY_NUMBER - FIRST_NUMBER)).unwrap_or(0) + FIRST_NUMBER;
    Ipv4Addr::new(127, number, high, low.max(1))
}

/// Returns the address of all relays. It differs from every cluster's address, so that no relay
/// gets a port that a cluster reserved and released.
fn relay_host() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, RELAY_NUMBER, high, low.max(1))
}

/// Returns ports chosen by the system that are free when this function returns.
fn reserve(host: Ipv4Addr, count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners: io::Result<Vec<_>> = (0..count).map(|_| TcpListener::bind((host, 0))).collect();
    let listeners = listeners?;
    let ports: io::Result<Vec<_>> = listeners.iter().map(TcpListener::local_addr).collect();
    drop(listeners);
    let ports = ports?;
    for port in &ports {
        wait_until_free(*port);
    }
    Ok(ports)
}

/// Waits until no process listens on a port.
///
/// A child process that another thread is spawning inherits every socket until it calls `exec`.
fn wait_until_free(port: SocketAddr) {
    while TcpStream::connect(port).is_ok() {
        thread::sleep(PORT_POLL);
    }
}
