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
const FREE_PAUSE: Duration = Duration::from_millis(5);
const KEY: &str = "a key that only the tests' own clusters hold";

/// Running control processes and entries.
#[derive(Debug)]
pub struct Cluster {
    /// Control processes.
    pub controls: Vec<Process>,
    /// Entries.
    pub entries: Vec<Process>,
    addresses: Vec<EntryAddresses>,
    operators: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    relays: Relays,
    _folder: Folder,
}

impl Cluster {
    /// Token of the operators.
    pub const TOKEN: &str = "operators-of-the-tests";

    /// Starts a cluster.
    ///
    /// # Errors
    ///
    /// Files cannot be written or processes not started.
    pub fn start(cfg: &ClusterConfig) -> io::Result<Self> {
        let folder = Folder::new()?;
        folder.write("cluster.key", KEY)?;
        folder.write("operators.token", Self::TOKEN)?;
        let host = host(folder.get_number());
        // All at once, so that no port is given twice.
        let count = cfg.controls + cfg.spares;
        let ports = reserve(host, 2 * count + 4 * cfg.entries)?;
        let (controls, entries) = ports.split_at(2 * count);
        let all: Vec<_> = controls
            .chunks(2)
            .map(|pair| ControlAddresses { peers: pair[0], operators: pair[1] })
            .collect();
        let mut this = Self {
            controls: Vec::new(),
            entries: Vec::new(),
            addresses: Vec::new(),
            operators: all.iter().map(|control| control.operators).collect(),
            peers: all.iter().map(|control| control.peers).collect(),
            relays: Relays::default(),
            _folder: folder,
        };
        for index in 0..count {
            std::fs::create_dir_all(this._folder.get_path().join(format!("data-{index}")))?;
            let voters = this.voters(cfg, relay_host(), Place::Control(index), &all)?;
            let text = settings_text::control(cfg, all[index], &voters, index);
            let process = this.process(cfg, "control", index, &text)?;
            this.controls.push(process);
        }
        for (index, ports) in entries.chunks(4).enumerate() {
            let own =
                EntryAddresses { callers: ports[0], upstreams: ports[1], operators: ports[2] };
            let voters = this.voters(cfg, relay_host(), Place::Entry(index), &all)?;
            let text = settings_text::entry(cfg, &voters, own, ports[3], index);
            let process = this.process(cfg, "entry", index, &text)?;
            this.entries.push(process);
            this.addresses.push(own);
        }
        for process in this.controls.iter_mut().take(cfg.controls).chain(&mut this.entries) {
            process.start()?;
        }
        Ok(this)
    }

    /// Addresses of an entry.
    pub fn get_entry(&self, index: usize) -> EntryAddresses {
        self.addresses[index]
    }

    /// Operators' address of a control process.
    pub fn get_control(&self, index: usize) -> SocketAddr {
        self.operators[index]
    }

    /// Peers' address of a control process.
    pub fn get_peers(&self, index: usize) -> SocketAddr {
        self.peers[index]
    }

    /// Upstreams' addresses of every entry.
    pub fn get_upstreams(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|entry| entry.upstreams).collect()
    }

    /// Region and availability zone of process `index`.
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

    /// Logs of every process, for a test that failed.
    pub fn get_logs(&self) -> String {
        let all = self.controls.iter().chain(&self.entries);
        let part =
            |process: &Process| format!("== {}\n{}", process.log.display(), process.get_log());
        all.map(part).collect()
    }

    /// Bytes on each way that has a relay.
    pub fn get_traffic(&self) -> Vec<Traffic> {
        self.relays.get_traffic()
    }

    /// Lets nothing through between two sets of processes; connections stay open.
    pub fn cut(&self, some: &[Place], others: &[Place]) {
        self.relays.set_cut(some, others, true);
    }

    /// Lets everything through again.
    pub fn mend(&self, some: &[Place], others: &[Place]) {
        self.relays.set_cut(some, others, false);
    }

    /// Lets nothing through on connections that `from` opens to a control process, or mends them.
    pub fn set_way_cut(&self, from: Place, to: usize, is_cut: bool) {
        self.relays.set_way_cut(from, to, is_cut);
    }

    /// Addresses of the voters as one process is told them.
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

/// Address of a cluster, of its own in this process and hardly shared with other processes.
fn host(number: u32) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number =
        u8::try_from(number % u32::from(RELAY_NUMBER - FIRST_NUMBER)).unwrap_or(0) + FIRST_NUMBER;
    Ipv4Addr::new(127, number, high, low.max(1))
}

/// Address of all relays: none of them can be given a port that a cluster reserved and released.
fn relay_host() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, RELAY_NUMBER, high, low.max(1))
}

/// Ports that the system chooses, free when this returns.
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

/// Waits until nobody listens on a port.
///
/// A process that another thread is starting holds a copy of every socket until it has begun its
/// own program.
fn wait_until_free(port: SocketAddr) {
    while TcpStream::connect(port).is_ok() {
        thread::sleep(FREE_PAUSE);
    }
}
