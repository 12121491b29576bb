use std::time::Duration;

use comfreymill_batch::config;
use comfreymill_route::grant;
use comfreymill_types::document;

use crate::settings;

const EXECUTOR_TIMEOUT: Duration = Duration::from_secs(5);
const GRANT_PERIOD: Duration = Duration::from_millis(250);
const WORKER_PERIOD: Duration = Duration::from_secs(1);
const PARTS_PER_MILLION: f64 = 1e6;

/// Configuration of the core.
#[derive(Clone, Debug)]
pub(in crate::control) struct CoreConfig {
    /// Duration of the lease that an entry gets with each heartbeat.
    pub(in crate::control) entry_lease: Duration,
    /// Time without an announcement after which an executor is removed.
    pub(in crate::control) executor_timeout: Duration,
    /// Interval at which grants are adjusted to demand.
    pub(in crate::control) grant_period: Duration,
    /// Interval between a worker's heartbeats.
    pub(in crate::control) worker_period: Duration,
    /// Number of log entries applied between two snapshots.
    pub(in crate::control) snapshot_entries: u64,
    /// Configuration of each granter.
    pub(in crate::control) granter: grant::Config,
    /// Configuration of the batch scheduler.
    pub(in crate::control) scheduler: config::Config,
}

impl CoreConfig {
    /// Creates the configuration from the settings of a control process.
    pub(in crate::control) fn from_settings(settings: &settings::ControlSettings) -> Self {
        let timing = settings.get_common().get_timing();
        let lease = timing.get_lease().get_duration();
        let drift_ppm = timing.get_clock_drift().as_ppm();
        let granter = grant::Config::default()
            .lease(lease)
            .longest_deadline(document::PromptClass::MAX_DEADLINE)
            .drift(f64::from(drift_ppm) / PARTS_PER_MILLION);
        let scheduler = config::Config::new()
            .lease(lease)
            .drift_ppm(drift_ppm)
            .heartbeat_period(WORKER_PERIOD)
            .policy(settings.get_placement());
        Self {
            entry_lease: lease,
            executor_timeout: EXECUTOR_TIMEOUT,
            grant_period: GRANT_PERIOD,
            worker_period: WORKER_PERIOD,
            snapshot_entries: settings.get_snapshot_entries(),
            granter,
            scheduler,
        }
    }
}
