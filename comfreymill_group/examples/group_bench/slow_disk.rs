use comfreymill_group::store::{self, Disk};
use std::time::Duration;
use std::{io, path, thread};

/// Folder that adds a delay to each sync.
pub(crate) struct SlowDisk {
    inner: store::FolderDisk,
    sync_delay: Duration,
}

impl SlowDisk {
    /// Opens the folder at `path`; each sync takes `sync_delay` longer.
    pub(crate) fn open(path: &path::Path, sync_delay: Duration) -> io::Result<Self> {
        Ok(Self { inner: store::FolderDisk::open(path)?, sync_delay })
    }
}

impl Disk for SlowDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        self.inner.list()
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.inner.read(name)
    }

    fn append(&mut self, name: &str, buf: &[u8]) -> io::Result<()> {
        self.inner.append(name, buf)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        if !self.sync_delay.is_zero() {
            thread::sleep(self.sync_delay);
        }
        self.inner.sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.inner.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.inner.remove(name)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.inner.sync_folder()
    }
}
