use std::time::Duration;

use comfreymill_types::id;

use super::Policy;

/// Configuration of a [`Router`](super::Router).
#[derive(Clone, Debug)]
pub struct Config {
    region: id::RegionName,
    zone: id::ZoneName,
    policy: Policy,
    retry_ratio: f64,
    ejection: bool,
    ejection_failures: u32,
    slow_factor: f64,
    max_ejected_share: f64,
    base_ejection: Duration,
    max_ejection: Duration,
    probe_timeout: Duration,
    slow_start: Duration,
    queue_limit: usize,
    unresolved_hold: Duration,
    grant_wait: Duration,
    history_limit: usize,
    seed: u64,
}

impl Config {
    /// Creates the default configuration for an entry in `zone` of `region`.
    pub fn new(region: id::RegionName, zone: id::ZoneName) -> Self {
        Self {
            region,
            zone,
            policy: Policy::default(),
            retry_ratio: 0.095,
            ejection: true,
            ejection_failures: 3,
            slow_factor: 3.0,
            max_ejected_share: 0.5,
            base_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(60),
            probe_timeout: Duration::from_secs(2),
            slow_start: Duration::from_secs(10),
            queue_limit: 4_096,
            unresolved_hold: Duration::from_secs(5),
            grant_wait: Duration::from_millis(500),
            history_limit: 4_096,
            seed: 0,
        }
    }

    /// Region in which the entry runs.
    pub fn get_region(&self) -> &id::RegionName {
        &self.region
    }

    /// Availability zone in which the entry runs.
    pub fn get_zone(&self) -> &id::ZoneName {
        &self.zone
    }

    /// Policy by which an executor is chosen.
    pub fn get_policy(&self) -> Policy {
        self.policy
    }

    /// Average number of retries allowed per request.
    pub fn get_retry_ratio(&self) -> f64 {
        self.retry_ratio
    }

    /// Whether failing and slow executors are ejected.
    pub fn is_ejection_set(&self) -> bool {
        self.ejection
    }

    /// Number of consecutive failures after which an executor is ejected.
    pub fn get_ejection_failures(&self) -> u32 {
        self.ejection_failures
    }

    /// Multiple of the class's usual latency above which an executor is ejected.
    pub fn get_slow_factor(&self) -> f64 {
        self.slow_factor
    }

    /// Largest fraction of a service's executors, from 0 to 1, that may be ejected at once.
    pub fn get_max_ejected_share(&self) -> f64 {
        self.max_ejected_share
    }

    /// Duration of the first ejection; each further one doubles it.
    pub fn get_base_ejection(&self) -> Duration {
        self.base_ejection
    }

    /// Maximum duration of an ejection.
    pub fn get_max_ejection(&self) -> Duration {
        self.max_ejection
    }

    /// Time after which an unanswered probe counts as failed.
    pub fn get_probe_timeout(&self) -> Duration {
        self.probe_timeout
    }

    /// Time over which the usable share of a new executor's slots grows to all of them.
    pub fn get_slow_start(&self) -> Duration {
        self.slow_start
    }

    /// Maximum number of queued requests over all classes.
    pub fn get_queue_limit(&self) -> usize {
        self.queue_limit
    }

    /// Minimum time for which a slot counts as in use after an attempt whose outcome is unknown;
    /// the class's deadline applies if it is longer.
    pub fn get_unresolved_hold(&self) -> Duration {
        self.unresolved_hold
    }

    /// Queue wait assumed while no slots are granted: the time within which the leader should
    /// grant some.
    pub fn get_grant_wait(&self) -> Duration {
        self.grant_wait
    }

    /// Maximum number of decision records kept.
    pub fn get_history_limit(&self) -> usize {
        self.history_limit
    }

    /// Seed of the random number generator.
    pub fn get_seed(&self) -> u64 {
        self.seed
    }
}

/// # Settings
impl Config {
    /// Policy by which an executor is chosen.
    #[must_use]
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Average number of retries allowed per request.
    #[must_use]
    pub fn retry_ratio(mut self, retry_ratio: f64) -> Self {
        self.retry_ratio = retry_ratio;
        self
    }

    /// Whether failing and slow executors are ejected.
    #[must_use]
    pub fn ejection(mut self, ejection: bool) -> Self {
        self.ejection = ejection;
        self
    }

    /// Number of consecutive failures after which an executor is ejected.
    #[must_use]
    pub fn ejection_failures(mut self, ejection_failures: u32) -> Self {
        self.ejection_failures = ejection_failures;
        self
    }

    /// Multiple of the class's usual latency above which an executor is ejected.
    #[must_use]
    pub fn slow_factor(mut self, slow_factor: f64) -> Self {
        self.slow_factor = slow_factor;
        self
    }

    /// Largest fraction of a service's executors, from 0 to 1, that may be ejected at once.
    #[must_use]
    pub fn max_ejected_share(mut self, max_ejected_share: f64) -> Self {
        self.max_ejected_share = max_ejected_share;
        self
    }

    /// Duration of the first ejection; each further one doubles it.
    #[must_use]
    pub fn base_ejection(mut self, base_ejection: Duration) -> Self {
        self.base_ejection = base_ejection;
        self
    }

    /// Maximum duration of an ejection.
    #[must_use]
    pub fn max_ejection(mut self, max_ejection: Duration) -> Self {
        self.max_ejection = max_ejection;
        self
    }

    /// Time after which an unanswered probe counts as failed.
    #[must_use]
    pub fn probe_timeout(mut self, probe_timeout: Duration) -> Self {
        self.probe_timeout = probe_timeout;
        self
    }

    /// Time over which the usable share of a new executor's slots grows to all of them.
    #[must_use]
    pub fn slow_start(mut self, slow_start: Duration) -> Self {
        self.slow_start = slow_start;
        self
    }

    /// Maximum number of queued requests over all classes.
    #[must_use]
    pub fn queue_limit(mut self, queue_limit: usize) -> Self {
        self.queue_limit = queue_limit;
        self
    }

    /// Minimum time for which a slot counts as in use after an attempt whose outcome is unknown;
    /// the class's deadline applies if it is longer.
    #[must_use]
    pub fn unresolved_hold(mut self, unresolved_hold: Duration) -> Self {
        self.unresolved_hold = unresolved_hold;
        self
    }

    /// Queue wait assumed while no slots are granted: the time within which the leader should
    /// grant some.
    #[must_use]
    pub fn grant_wait(mut self, grant_wait: Duration) -> Self {
        self.grant_wait = grant_wait;
        self
    }

    /// Maximum number of decision records kept.
    #[must_use]
    pub fn history_limit(mut self, history_limit: usize) -> Self {
        self.history_limit = history_limit;
        self
    }

    /// Seed of the random number generator.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
