use std::time::Duration;

use comfreymill_types::time;

use super::PackingConfig;
use super::RemoteFactor;

/// Timing parameters of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    lease: Duration,
    max_lease: Duration,
    max_poll_wait: Duration,
    mixed_poll_period: Duration,
    clock_drift_ppm: u32,
    outcome_retention: Duration,
    packing: Option<PackingConfig>,
    evacuation_patience: Duration,
    remote_factor: Option<RemoteFactor>,
}

const PPM: u64 = 1_000_000;

impl Config {
    /// Creates the default parameters for workers whose leases last `lease`.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            max_lease: lease,
            max_poll_wait: Duration::from_millis(1_500),
            mixed_poll_period: Duration::from_millis(600),
            clock_drift_ppm: 20_000,
            outcome_retention: Duration::from_secs(120),
            packing: None,
            evacuation_patience: Duration::from_secs(60),
            remote_factor: None,
        }
    }

    /// Sets the longest lease that workers grant; they shorten longer ones to it.
    #[must_use]
    pub fn max_lease(mut self, lease: Duration) -> Self {
        self.max_lease = lease.max(self.lease);
        self
    }

    /// Sets the maximum time for which a worker may delay the answer to a poll until a run ends.
    #[must_use]
    pub fn max_poll_wait(mut self, wait: Duration) -> Self {
        self.max_poll_wait = wait;
        self
    }

    /// Sets the time between polls of a worker on which fillers run beside serving tasks.
    #[must_use]
    pub fn mixed_poll_period(mut self, period: Duration) -> Self {
        self.mixed_poll_period = period;
        self
    }

    /// Sets the maximum amount by which a worker's clock may run slow, in parts per million.
    #[must_use]
    pub fn clock_drift_ppm(mut self, ppm: u32) -> Self {
        self.clock_drift_ppm = ppm;
        self
    }

    /// Sets the time for which the outcome of a job is retained.
    #[must_use]
    pub fn outcome_retention(mut self, span: Duration) -> Self {
        self.outcome_retention = span;
        self
    }

    /// Sets when long-running tasks are packed; without it, they never are.
    #[must_use]
    pub fn packing(mut self, packing: Option<PackingConfig>) -> Self {
        self.packing = packing;
        self
    }

    /// Returns when long-running tasks are packed.
    pub fn get_packing(&self) -> Option<PackingConfig> {
        self.packing
    }

    /// Sets the time for which tasks of an evacuated zone move only while there is room to
    /// spare.
    #[must_use]
    pub fn evacuation_patience(mut self, span: Duration) -> Self {
        self.evacuation_patience = span;
        self
    }

    /// Sets the factor by which tasks take longer away from their data, or on more than one rack;
    /// without it, tasks do not wait for racks.
    #[must_use]
    pub fn remote_factor(mut self, factor: Option<RemoteFactor>) -> Self {
        self.remote_factor = factor;
        self
    }

    /// Returns the factor by which tasks take longer away from their data, if it is known.
    pub fn get_remote_factor(&self) -> Option<RemoteFactor> {
        self.remote_factor
    }

    /// Returns the duration of a worker's lease on the worker's clock.
    pub fn get_lease(&self) -> Duration {
        self.lease
    }

    /// Returns the longest lease that a worker grants, on the worker's clock.
    pub fn get_max_lease(&self) -> Duration {
        self.max_lease
    }

    /// Returns the maximum time for which a worker may delay the answer to a poll until a run ends.
    pub fn get_max_poll_wait(&self) -> Duration {
        self.max_poll_wait
    }

    /// Returns the time between polls of a worker on which fillers run beside serving tasks.
    pub fn get_mixed_poll_period(&self) -> Duration {
        self.mixed_poll_period
    }

    /// Returns the time for which the outcome of a job is retained.
    pub fn get_outcome_retention(&self) -> Duration {
        self.outcome_retention
    }

    /// Returns the time for which tasks of an evacuated zone move only while there is room to
    /// spare.
    pub fn get_evacuation_patience(&self) -> Duration {
        self.evacuation_patience
    }

    /// Returns the maximum time that passes on the leader's clock during `span` on a worker's
    /// clock.
    pub fn max_leader_time(&self, span: Duration) -> Duration {
        let slowest = PPM - u64::from(self.clock_drift_ppm).min(PPM / 2);
        span.mul_f64(PPM as f64 / slowest as f64)
    }

    /// Returns the time by which an incarnation had begun whose clock showed `clock_ms` before `now`; its
    /// clock counts from its beginning.
    pub(super) fn began_by(&self, now: time::Monotonic, clock_ms: u64) -> time::Monotonic {
        let age = Duration::from_millis(clock_ms);
        let fastest = PPM + u64::from(self.clock_drift_ppm).min(PPM / 2);
        let least_age = age.mul_f64(PPM as f64 / fastest as f64);
        let micros = u64::try_from(least_age.as_micros()).unwrap_or(u64::MAX);
        time::Monotonic::from_micros(now.as_micros().saturating_sub(micros))
    }

    /// Returns the minimum time that passes on a worker's clock during `span` on the leader's
    /// clock.
    pub fn min_worker_time(&self, span: Duration) -> Duration {
        let slowest = PPM - u64::from(self.clock_drift_ppm).min(PPM / 2);
        span.mul_f64(slowest as f64 / PPM as f64)
    }

    /// Returns the maximum time that passes on a worker's clock during `span` on the leader's
    /// clock.
    pub fn max_worker_time(&self, span: Duration) -> Duration {
        let fastest = PPM + u64::from(self.clock_drift_ppm).min(PPM / 2);
        span.mul_f64(fastest as f64 / PPM as f64)
    }
}
