use std::time::Duration;

/// Configuration of a [`Granter`](super::Granter).
#[derive(Clone, Debug)]
pub struct Config {
    lease: Duration,
    longest_deadline: Duration,
    drift: f64,
    floor: u32,
    chunk: u32,
    reserve: f64,
    announce_grace: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(15),
            longest_deadline: Duration::from_secs(10),
            drift: 0.01,
            floor: 2,
            chunk: 4,
            reserve: 0.1,
            announce_grace: Duration::from_secs(3),
        }
    }
}

impl Config {
    /// Time for which an entry may use its grants after the leader answered a heartbeat.
    pub fn get_lease(&self) -> Duration {
        self.lease
    }

    /// Longest time for which a request may run.
    pub fn get_longest_deadline(&self) -> Duration {
        self.longest_deadline
    }

    /// Upper bound on the relative drift between two clocks; 0.01 means 1 %.
    pub fn get_drift(&self) -> f64 {
        self.drift
    }

    /// Minimum number of slots of each service that an entry is granted without demand.
    pub fn get_floor(&self) -> u32 {
        self.floor
    }

    /// Number of slots granted to an entry on one executor before another executor is used.
    pub fn get_chunk(&self) -> u32 {
        self.chunk
    }

    /// Fraction of a region's slots, from 0 to 1, left ungranted while no entry needs them.
    pub fn get_reserve(&self) -> f64 {
        self.reserve
    }

    /// Time within which every running executor announces itself to a new leader.
    pub fn get_announce_grace(&self) -> Duration {
        self.announce_grace
    }

    /// Time after an entry's last heartbeat at which none of its requests can still be running.
    pub fn get_expiry(&self) -> Duration {
        (self.lease + self.longest_deadline).mul_f64(1.0 + self.drift)
    }

    /// Time after the end of an entry's incarnation at which none of its requests can still be
    /// running.
    pub fn get_request_expiry(&self) -> Duration {
        self.longest_deadline.mul_f64(1.0 + self.drift)
    }
}

/// # Settings
impl Config {
    /// Time for which an entry may use its grants after the leader answered a heartbeat.
    #[must_use]
    pub fn lease(mut self, lease: Duration) -> Self {
        self.lease = lease;
        self
    }

    /// Longest time for which a request may run.
    #[must_use]
    pub fn longest_deadline(mut self, longest_deadline: Duration) -> Self {
        self.longest_deadline = longest_deadline;
        self
    }

    /// Upper bound on the relative drift between two clocks; 0.01 means 1 %.
    #[must_use]
    pub fn drift(mut self, drift: f64) -> Self {
        self.drift = drift;
        self
    }

    /// Minimum number of slots of each service that an entry is granted without demand.
    #[must_use]
    pub fn floor(mut self, floor: u32) -> Self {
        self.floor = floor;
        self
    }

    /// Number of slots granted to an entry on one executor before another executor is used.
    #[must_use]
    pub fn chunk(mut self, chunk: u32) -> Self {
        self.chunk = chunk;
        self
    }

    /// Fraction of a region's slots, from 0 to 1, left ungranted while no entry needs them.
    #[must_use]
    pub fn reserve(mut self, reserve: f64) -> Self {
        self.reserve = reserve;
        self
    }

    /// Time within which every running executor announces itself to a new leader.
    #[must_use]
    pub fn announce_grace(mut self, announce_grace: Duration) -> Self {
        self.announce_grace = announce_grace;
        self
    }
}
