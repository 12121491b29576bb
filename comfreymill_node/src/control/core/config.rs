use std::time::Duration;

use comfreymill_batch::config;
use comfreymill_route::grant;

/// What the core needs to know.
#[derive(Clone, Debug)]
pub(in crate::control) struct CoreConfig {
    /// Length of the lease of entries.
    pub(in crate::control) entry_lease: Duration,
    /// Silence after which an executor counts as gone.
    pub(in crate::control) executor_silence: Duration,
    /// Time for which a new leader waits for announcements before it drops executors.
    pub(in crate::control) rebuild_grace: Duration,
    /// Period in which grants follow demand.
    pub(in crate::control) grant_period: Duration,
    /// Period of workers' heartbeats.
    pub(in crate::control) worker_period: Duration,
    /// Entries applied between two snapshots.
    pub(in crate::control) snapshot_entries: u64,
    /// Settings of each granter.
    pub(in crate::control) granter: grant::Config,
    /// Settings of the scheduler.
    pub(in crate::control) scheduler: config::Config,
}
