use std::time::Duration;

/// Settings of a granter.
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
    /// Time for which an entry may use its grants after a heartbeat was answered.
    pub fn get_lease(&self) -> Duration {
        self.lease
    }

    /// Longest time that a request may run.
    pub fn get_longest_deadline(&self) -> Duration {
        self.longest_deadline
    }

    /// Bound on the relative drift of two clocks.
    pub fn get_drift(&self) -> f64 {
        self.drift
    }

    /// Slots that an entry without demand keeps of each service.
    pub fn get_floor(&self) -> u32 {
        self.floor
    }

    /// Slots of one executor that an entry is given before it is given another.
    pub fn get_chunk(&self) -> u32 {
        self.chunk
    }

    /// Share of a region's slots that is kept ungranted while there is no demand for them.
    pub fn get_reserve(&self) -> f64 {
        self.reserve
    }

    /// Time within which every living executor announces itself to a new leader.
    pub fn get_announce_grace(&self) -> Duration {
        self.announce_grace
    }

    /// Time after the last heartbeat of an entry at which nothing it sent can still run.
    pub fn get_expiry(&self) -> Duration {
        (self.lease + self.longest_deadline).mul_f64(1.0 + self.drift)
    }

    /// Time after which nothing that an ended life of an entry sent can still run.
    pub fn get_run_out(&self) -> Duration {
        self.longest_deadline.mul_f64(1.0 + self.drift)
    }
}

/// # Settings
impl Config {
    /// Time for which an entry may use its grants after a heartbeat was answered.
    #[must_use]
    pub fn lease(mut self, lease: Duration) -> Self {
        self.lease = lease;
        self
    }

    /// Longest time that a request may run.
    #[must_use]
    pub fn longest_deadline(mut self, longest_deadline: Duration) -> Self {
        self.longest_deadline = longest_deadline;
        self
    }

    /// Bound on the relative drift of two clocks.
    #[must_use]
    pub fn drift(mut self, drift: f64) -> Self {
        self.drift = drift;
        self
    }

    /// Slots that an entry without demand keeps of each service.
    #[must_use]
    pub fn floor(mut self, floor: u32) -> Self {
        self.floor = floor;
        self
    }

    /// Slots of one executor that an entry is given before it is given another.
    #[must_use]
    pub fn chunk(mut self, chunk: u32) -> Self {
        self.chunk = chunk;
        self
    }

    /// Share of a region's slots that is kept ungranted while there is no demand for them.
    #[must_use]
    pub fn reserve(mut self, reserve: f64) -> Self {
        self.reserve = reserve;
        self
    }

    /// Time within which every living executor announces itself to a new leader.
    #[must_use]
    pub fn announce_grace(mut self, announce_grace: Duration) -> Self {
        self.announce_grace = announce_grace;
        self
    }
}
