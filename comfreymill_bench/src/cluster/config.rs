use std::path::PathBuf;

/// Configuration of a [`Cluster`](super::Cluster).
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    pub(super) binary: PathBuf,
    pub(super) controls: usize,
    pub(super) spares: usize,
    pub(super) entries: usize,
    pub(super) is_relayed: bool,
    pub(super) lease: String,
    pub(super) snapshot_entries: u64,
    pub(super) extra: String,
}

impl ClusterConfig {
    /// Creates the configuration of one control process and one entry that run this binary.
    pub fn new<P>(binary: P) -> Self
    where
        P: Into<PathBuf>,
    {
        let (lease, extra) = ("5s".to_owned(), String::new());
        Self {
            binary: binary.into(),
            controls: 1,
            spares: 0,
            entries: 1,
            is_relayed: false,
            lease,
            snapshot_entries: 20_000,
            extra,
        }
    }

    /// Sets the number of control processes.
    #[must_use]
    pub fn controls(mut self, count: usize) -> Self {
        self.controls = count;
        self
    }

    /// Sets the number of spare control processes, which are not started and not among the first
    /// voters.
    #[must_use]
    pub fn spares(mut self, count: usize) -> Self {
        self.spares = count;
        self
    }

    /// Connects processes to control processes through relays, whose traffic can be blocked.
    #[must_use]
    pub fn relayed(mut self) -> Self {
        self.is_relayed = true;
        self
    }

    /// Sets the number of entries.
    #[must_use]
    pub fn entries(mut self, count: usize) -> Self {
        self.entries = count;
        self
    }

    /// Sets the duration of leases, with its unit, such as `5s`.
    #[must_use]
    pub fn lease<L>(mut self, lease: L) -> Self
    where
        L: Into<String>,
    {
        self.lease = lease.into();
        self
    }

    /// Sets the number of log entries between two snapshots.
    #[must_use]
    pub fn snapshot_entries(mut self, entries: u64) -> Self {
        self.snapshot_entries = entries;
        self
    }

    /// Sets lines that are appended to every settings file.
    #[must_use]
    pub fn extra<E>(mut self, extra: E) -> Self
    where
        E: Into<String>,
    {
        self.extra = extra.into();
        self
    }
}
