use std::time::Duration;

use super::{Hysteresis, Policy, Quarantine};

const PPM: u128 = 1_000_000;

/// Settings of the scheduler.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use comfreymill_batch::config;
///
/// let cfg = config::Config::new()
///     .lease(Duration::from_secs(10))
///     .drift_ppm(500)
///     .policy(config::Policy::BestFit);
/// assert_eq!(cfg.get_lease_bound(), Duration::from_millis(10_005));
/// ```
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    lease: Duration,
    drift_ppm: u32,
    heartbeat_period: Duration,
    usage_lag: Duration,
    checkpoint_limit: Duration,
    ageing: Duration,
    policy: Policy,
    hysteresis: Hysteresis,
    quarantine: Quarantine,
    records_per_task: usize,
    seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(10),
            drift_ppm: 1_000,
            heartbeat_period: Duration::from_secs(1),
            usage_lag: Duration::from_secs(5),
            checkpoint_limit: Duration::from_millis(2_000),
            ageing: Duration::from_secs(600),
            policy: Policy::default(),
            hysteresis: Hysteresis::default(),
            quarantine: Quarantine::default(),
            records_per_task: 16,
            seed: 1,
        }
    }
}

impl Config {
    /// Creates the default settings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how long a worker may run tasks without an answer to its heartbeats.
    pub fn get_lease(&self) -> Duration {
        self.lease
    }

    /// Returns the time after which the leader treats a lease as expired: the lease plus the
    /// bound on clock drift.
    pub fn get_lease_bound(&self) -> Duration {
        let micros = self.lease.as_micros();
        let drift = (micros * u128::from(self.drift_ppm)).div_ceil(PPM);
        Duration::from_micros(u64::try_from(micros + drift).unwrap_or(u64::MAX))
    }

    /// Returns the period of the workers' heartbeats.
    pub fn get_heartbeat_period(&self) -> Duration {
        self.heartbeat_period
    }

    /// Returns the expected age of a usage sample.
    pub fn get_usage_lag(&self) -> Duration {
        self.usage_lag
    }

    /// Returns how long a checkpoint may take before the task is stopped without it.
    pub fn get_checkpoint_limit(&self) -> Duration {
        self.checkpoint_limit
    }

    /// Returns the waiting time that raises a task by one priority.
    pub fn get_ageing(&self) -> Duration {
        self.ageing
    }

    /// Returns the policy of placement and eviction.
    pub fn get_policy(&self) -> Policy {
        self.policy
    }

    /// Returns the bounds of the response to slow prompt services.
    pub fn get_hysteresis(&self) -> Hysteresis {
        self.hysteresis
    }

    /// Returns the rules for quarantining workers.
    pub fn get_quarantine(&self) -> Quarantine {
        self.quarantine
    }

    /// Returns the maximum number of decision records kept per task.
    pub fn get_records_per_task(&self) -> usize {
        self.records_per_task
    }

    /// Returns the seed of the random sampling of workers.
    pub fn get_seed(&self) -> u64 {
        self.seed
    }
}

/// # Settings
impl Config {
    /// Sets how long a worker may run tasks without an answer to its heartbeats.
    #[must_use]
    pub fn lease(mut self, lease: Duration) -> Self {
        self.lease = lease;
        self
    }

    /// Sets the bound on drift between any two clocks, in parts per million.
    #[must_use]
    pub fn drift_ppm(mut self, drift_ppm: u32) -> Self {
        self.drift_ppm = drift_ppm;
        self
    }

    /// Sets the period of the workers' heartbeats.
    #[must_use]
    pub fn heartbeat_period(mut self, period: Duration) -> Self {
        self.heartbeat_period = period;
        self
    }

    /// Sets the expected age of a usage sample.
    #[must_use]
    pub fn usage_lag(mut self, lag: Duration) -> Self {
        self.usage_lag = lag;
        self
    }

    /// Sets how long a checkpoint may take before the task is stopped without it.
    #[must_use]
    pub fn checkpoint_limit(mut self, limit: Duration) -> Self {
        self.checkpoint_limit = limit;
        self
    }

    /// Sets the waiting time that raises a task by one priority.
    #[must_use]
    pub fn ageing(mut self, ageing: Duration) -> Self {
        self.ageing = ageing;
        self
    }

    /// Sets the policy of placement and eviction.
    #[must_use]
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the bounds of the response to slow prompt services.
    #[must_use]
    pub fn hysteresis(mut self, hysteresis: Hysteresis) -> Self {
        self.hysteresis = hysteresis;
        self
    }

    /// Sets the rules for quarantining workers.
    #[must_use]
    pub fn quarantine(mut self, quarantine: Quarantine) -> Self {
        self.quarantine = quarantine;
        self
    }

    /// Sets the maximum number of decision records kept per task.
    #[must_use]
    pub fn records_per_task(mut self, records: usize) -> Self {
        self.records_per_task = records;
        self
    }

    /// Sets the seed of the random sampling of workers.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
