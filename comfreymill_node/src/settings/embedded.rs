use std::fs;
use std::io;
use std::io::Write as _;
use std::net;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path;

use comfreymill_types::error;
use comfreymill_types::id;

use super::{CommonSettings, ControlSettings, EntrySettings, Network, Regions, Voter};
use crate::random;

const CLUSTER: &str = "embedded";
const REGION: &str = "local";
const ZONE: &str = "local-a";
const ENTRY: &str = "entry-1";
const VOTER: &str = "control-1";
const KEY_FILE: &str = "cluster.key";
const TOKEN_FILE: &str = "operators.token";
const STATE_FOLDER: &str = "state";
const SECRET_BYTES: usize = 32;
const SECRET_MODE: u32 = 0o600;

/// Settings for running one entry and one voter in one process on loopback.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Embedded {
    folder: path::PathBuf,
    callers: net::SocketAddr,
    upstreams: net::SocketAddr,
    operators: net::SocketAddr,
    peers: net::SocketAddr,
    control_operators: net::SocketAddr,
    control_peers: net::SocketAddr,
}

impl Embedded {
    /// Creates settings with the default addresses that store everything under `folder`.
    pub fn new<P>(folder: P) -> Self
    where
        P: Into<path::PathBuf>,
    {
        Self {
            folder: folder.into(),
            callers: loopback(7400),
            upstreams: loopback(7401),
            operators: loopback(7402),
            peers: loopback(7403),
            control_operators: loopback(7404),
            control_peers: loopback(7405),
        }
    }

    /// Sets the address of the entry's listener for callers.
    #[must_use]
    pub fn callers(mut self, address: net::SocketAddr) -> Self {
        self.callers = address;
        self
    }

    /// Sets the address of the entry's listener for upstreams.
    #[must_use]
    pub fn upstreams(mut self, address: net::SocketAddr) -> Self {
        self.upstreams = address;
        self
    }

    /// Sets the address of the entry's listener for operators.
    #[must_use]
    pub fn operators(mut self, address: net::SocketAddr) -> Self {
        self.operators = address;
        self
    }

    /// Sets the address of the entry's listener for peers.
    #[must_use]
    pub fn peers(mut self, address: net::SocketAddr) -> Self {
        self.peers = address;
        self
    }

    /// Sets the address of the voter's listener for operators.
    #[must_use]
    pub fn control_operators(mut self, address: net::SocketAddr) -> Self {
        self.control_operators = address;
        self
    }

    /// Sets the address of the voter's listener for peers.
    #[must_use]
    pub fn control_peers(mut self, address: net::SocketAddr) -> Self {
        self.control_peers = address;
        self
    }

    /// File with the operators' token.
    pub fn get_token_file(&self) -> path::PathBuf {
        self.folder.join(TOKEN_FILE)
    }

    /// Creates the folder, the cluster key and the operators' token if they are missing.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be written.
    pub fn prepare(&self) -> Result<(), error::Error> {
        let to_error = |error: io::Error| {
            let folder = self.folder.display();
            let message = format!("data folder `{folder}` cannot be prepared: {error}");
            error::Error::new(error::ErrorKind::Storage, message)
        };
        fs::create_dir_all(self.folder.join(STATE_FOLDER)).map_err(to_error)?;
        for name in [KEY_FILE, TOKEN_FILE] {
            write_secret(&self.folder.join(name)).map_err(to_error)?;
        }
        Ok(())
    }

    /// Settings of the entry.
    ///
    /// # Errors
    ///
    /// Never fails, since the built-in names are valid.
    pub fn get_entry(&self) -> Result<EntrySettings, id::ParseIdError> {
        let network = self.network(self.peers, self.operators)?;
        let common = self.common(network)?;
        Ok(EntrySettings::new(common, ENTRY.parse()?, self.callers, self.upstreams))
    }

    /// Settings of the voter.
    ///
    /// # Errors
    ///
    /// Never fails, since the built-in names are valid.
    pub fn get_control(&self) -> Result<ControlSettings, id::ParseIdError> {
        let network = self.network(self.control_peers, self.control_operators)?;
        let common = self.common(network)?;
        Ok(ControlSettings::new(common, VOTER.parse()?, self.folder.join(STATE_FOLDER)))
    }

    fn common(&self, network: Network) -> Result<CommonSettings, id::ParseIdError> {
        let key_file = self.folder.join(KEY_FILE);
        let token_file = self.get_token_file();
        Ok(CommonSettings::new(CLUSTER.parse()?, ZONE.parse()?, network, key_file, token_file))
    }

    fn network(
        &self,
        peers: net::SocketAddr,
        operators: net::SocketAddr,
    ) -> Result<Network, id::ParseIdError> {
        let regions = Regions::new().region(REGION.parse()?, vec![ZONE.parse()?]);
        let voter = Voter {
            name: VOTER.parse()?,
            peers: self.control_peers,
            zone: ZONE.parse()?,
            spare: false,
        };
        Ok(Network::new(peers, operators).regions(regions).voter(voter))
    }
}

fn loopback(port: u16) -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port))
}

/// Writes a random secret unless the file exists.
fn write_secret(file: &path::Path) -> io::Result<()> {
    let opened = fs::OpenOptions::new().write(true).create_new(true).mode(SECRET_MODE).open(file);
    match opened {
        Ok(mut opened) => {
            writeln!(opened, "{}", random::hex(SECRET_BYTES)?)?;
            opened.sync_all()
        }
        Err(error) if error.kind() == io::ErrorKind::AlreadyExists => Ok(()),
        Err(error) => Err(error),
    }
}
