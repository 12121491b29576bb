//! Temporary folder for a test.

use std::fs;
use std::net;
use std::os::unix::fs::PermissionsExt as _;
use std::path;
use std::process;
use std::sync::atomic;

static NEXT: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// Temporary folder with a cluster key, tokens and a data folder; removed on drop.
pub(crate) struct Scratch {
    folder: path::PathBuf,
}

impl Scratch {
    pub(crate) fn new() -> Self {
        let number = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
        let name = format!("comfreymill-settings-{}-{number}", process::id());
        let scratch = Self { folder: std::env::temp_dir().join(name) };
        fs::create_dir_all(scratch.folder.join("data")).expect("data folder");
        scratch.write_secret("cluster.key", "0123456789abcdef0123456789abcdef\n");
        for role in ["operators", "callers", "upstreams"] {
            scratch.write_secret(&format!("{role}.token"), "secret\n");
        }
        scratch
    }

    pub(crate) fn path(&self, name: &str) -> path::PathBuf {
        self.folder.join(name)
    }

    pub(crate) fn write(&self, name: &str, text: &str) -> path::PathBuf {
        let file = self.path(name);
        fs::write(&file, text).expect("written");
        file
    }

    pub(crate) fn write_secret(&self, name: &str, text: &str) {
        let file = self.write(name, text);
        set_mode(&file, 0o600);
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        // The folder may be removed already.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

pub(crate) fn set_mode(file: &path::Path, mode: u32) {
    fs::set_permissions(file, fs::Permissions::from_mode(mode)).expect("mode set");
}

/// Returns a loopback address whose port is free. No other test uses its IP address, so that none
/// takes the port before the one that asked for it.
pub(crate) fn free_address() -> net::SocketAddr {
    static NEXT_NUMBER: atomic::AtomicU8 = atomic::AtomicU8::new(0);
    let [_, _, high, low] = process::id().to_be_bytes();
    let number = NEXT_NUMBER.fetch_add(1, atomic::Ordering::Relaxed) % 100;
    let address = net::Ipv4Addr::new(127, 100 + number, high, low);
    let listener = net::TcpListener::bind((address, 0)).expect("bound");
    listener.local_addr().expect("address")
}
