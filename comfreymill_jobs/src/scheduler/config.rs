use std::time::Duration;

/// Timings of the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    lease: Duration,
    max_wait: Duration,
    watch_period: Duration,
    clock_drift_ppm: u32,
    status_kept: Duration,
}

const PPM: u64 = 1_000_000;

impl Config {
    /// Timings for workers whose leases last `lease`.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            max_wait: Duration::from_millis(1_500),
            watch_period: Duration::from_millis(600),
            clock_drift_ppm: 20_000,
            status_kept: Duration::from_secs(120),
        }
    }

    /// Longest time for which a worker holds an answer back until a run ends.
    #[must_use]
    pub fn max_wait(mut self, wait: Duration) -> Self {
        self.max_wait = wait;
        self
    }

    /// Time between looks at a worker on which tasks disturb each other.
    #[must_use]
    pub fn watch_period(mut self, period: Duration) -> Self {
        self.watch_period = period;
        self
    }

    /// Bound on how slow a worker's clock may be, in parts per million.
    #[must_use]
    pub fn clock_drift_ppm(mut self, ppm: u32) -> Self {
        self.clock_drift_ppm = ppm;
        self
    }

    /// Time for which the outcome of a job is kept.
    #[must_use]
    pub fn status_kept(mut self, span: Duration) -> Self {
        self.status_kept = span;
        self
    }

    /// Length of a worker's lease on its clock.
    pub fn get_lease(&self) -> Duration {
        self.lease
    }

    /// Longest time for which a worker holds an answer back.
    pub fn get_max_wait(&self) -> Duration {
        self.max_wait
    }

    /// Time between looks at a worker on which tasks disturb each other.
    pub fn get_watch_period(&self) -> Duration {
        self.watch_period
    }

    /// Time for which the outcome of a job is kept.
    pub fn get_status_kept(&self) -> Duration {
        self.status_kept
    }

    /// Longest time that `span` on a worker's clock takes.
    pub fn stretch(&self, span: Duration) -> Duration {
        let slowest = PPM - u64::from(self.clock_drift_ppm).min(PPM / 2);
        span.mul_f64(PPM as f64 / slowest as f64)
    }

    /// Time that a worker's clock has counted at least after `span`.
    pub fn shrink(&self, span: Duration) -> Duration {
        let slowest = PPM - u64::from(self.clock_drift_ppm).min(PPM / 2);
        span.mul_f64(slowest as f64 / PPM as f64)
    }
}
