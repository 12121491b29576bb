use crate::id;
use crate::replica::Start;
use crate::replica::member_names::MemberNames;
use std::time::Duration;

const PPM: u64 = 1_000_000;

/// Timings and limits of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Config {
    start: Start,
    election_timeout_min: Duration,
    election_timeout_max: Duration,
    heartbeat: Duration,
    retry: Duration,
    clock_drift_ppm: u32,
    max_append_bytes: usize,
    max_in_flight_bytes: usize,
    max_uncommitted_bytes: usize,
    snapshot_chunk_bytes: usize,
    retained_entries: u64,
    retained_bytes: usize,
    promote_lag_entries: u64,
    member_names: MemberNames,
}

/// Error returned when the settings of a [`Config`] are invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// The minimum election timeout is not below the maximum.
    #[error("election timeout: the minimum must be below the maximum")]
    ElectionTimeout,
    /// The heartbeat interval is zero, or fewer than three heartbeats fit into a lease.
    #[error("heartbeat interval: must be above 0 and at most a third of the lease")]
    Heartbeat,
    /// The bound on clock drift is half the clock rate or more.
    #[error("clock drift: must be below 500000 ppm")]
    ClockDrift,
    /// A limit in bytes is zero, or exceeds what fits into a message.
    #[error(
        "limits in bytes: must be above 0, and those of appends and snapshot chunks at most 1048576"
    )]
    Limits,
}

impl Config {
    const MAX_PART_BYTES: usize = 1024 * 1024;

    /// Creates a config with the default timings and limits.
    pub fn new(start: Start) -> Self {
        Self {
            start,
            election_timeout_min: Duration::from_millis(300),
            election_timeout_max: Duration::from_millis(600),
            heartbeat: Duration::from_millis(60),
            retry: Duration::from_millis(200),
            clock_drift_ppm: 10_000,
            max_append_bytes: 64 * 1024,
            max_in_flight_bytes: 256 * 1024,
            max_uncommitted_bytes: 16 * 1024 * 1024,
            snapshot_chunk_bytes: 64 * 1024,
            retained_entries: 2_000,
            retained_bytes: 4 * 1024 * 1024,
            promote_lag_entries: 100,
            member_names: MemberNames::default(),
        }
    }

    /// Sets the range that the random election timeout is drawn from.
    #[must_use]
    pub fn election_timeout(mut self, min: Duration, max: Duration) -> Self {
        self.election_timeout_min = min;
        self.election_timeout_max = max;
        self
    }

    /// Sets the interval between heartbeats.
    #[must_use]
    pub fn heartbeat(mut self, heartbeat: Duration) -> Self {
        self.heartbeat = heartbeat;
        self
    }

    /// Sets the time after which an unanswered append or snapshot chunk is sent again.
    #[must_use]
    pub fn retry(mut self, retry: Duration) -> Self {
        self.retry = retry;
        self
    }

    /// Sets the bound on the drift of a clock's rate, in parts per million.
    #[must_use]
    pub fn clock_drift_ppm(mut self, ppm: u32) -> Self {
        self.clock_drift_ppm = ppm;
        self
    }

    /// Sets the maximum bytes of entries in one append.
    #[must_use]
    pub fn max_append_bytes(mut self, bytes: usize) -> Self {
        self.max_append_bytes = bytes;
        self
    }

    /// Sets the maximum bytes of entries in flight to one follower.
    #[must_use]
    pub fn max_in_flight_bytes(mut self, bytes: usize) -> Self {
        self.max_in_flight_bytes = bytes;
        self
    }

    /// Sets the maximum bytes of entries proposed and not committed.
    #[must_use]
    pub fn max_uncommitted_bytes(mut self, bytes: usize) -> Self {
        self.max_uncommitted_bytes = bytes;
        self
    }

    /// Sets the maximum bytes of a snapshot in one message.
    #[must_use]
    pub fn snapshot_chunk_bytes(mut self, bytes: usize) -> Self {
        self.snapshot_chunk_bytes = bytes;
        self
    }

    /// Sets the number of entries kept in memory after a snapshot covers them, for slow followers.
    #[must_use]
    pub fn retained_entries(mut self, entries: u64) -> Self {
        self.retained_entries = entries;
        self
    }

    /// Sets the maximum bytes of entries kept in memory after a snapshot covers them.
    #[must_use]
    pub fn retained_bytes(mut self, bytes: usize) -> Self {
        self.retained_bytes = bytes;
        self
    }

    /// Sets the maximum number of entries that a learner may be behind when it is promoted; one that has
    /// all entries of the longest election timeout ago may be further behind.
    #[must_use]
    pub fn promote_lag_entries(mut self, entries: u64) -> Self {
        self.promote_lag_entries = entries;
        self
    }

    /// Sets how members are named in the log.
    #[must_use]
    pub fn member_names(mut self, names: fn(id::VoterId) -> String) -> Self {
        self.member_names = MemberNames::new(names);
        self
    }

    /// Checks that the settings are consistent.
    ///
    /// # Errors
    ///
    /// Fails if a setting is out of range or contradicts another.
    pub fn validate(&self) -> Result<(), ConfigError> {
        if self.election_timeout_min >= self.election_timeout_max {
            return Err(ConfigError::ElectionTimeout);
        }
        if u64::from(self.clock_drift_ppm) >= PPM / 2 {
            return Err(ConfigError::ClockDrift);
        }
        if self.heartbeat.is_zero() || self.heartbeat * 3 > self.get_lease() {
            return Err(ConfigError::Heartbeat);
        }
        let limits = [
            self.max_append_bytes,
            self.max_in_flight_bytes,
            self.max_uncommitted_bytes,
            self.snapshot_chunk_bytes,
        ];
        let parts = [self.max_append_bytes, self.snapshot_chunk_bytes];
        if limits.contains(&0) || parts.iter().any(|bytes| *bytes > Self::MAX_PART_BYTES) {
            return Err(ConfigError::Limits);
        }
        Ok(())
    }

    /// Returns the name of a member in the log.
    pub(super) fn name_of(&self, voter: id::VoterId) -> String {
        self.member_names.name_of(voter)
    }

    pub(super) fn start_mut(&mut self) -> &mut Start {
        &mut self.start
    }

    /// Returns how a replica with an empty data folder starts.
    pub fn get_start(&self) -> &Start {
        &self.start
    }

    /// Returns the minimum election timeout.
    pub fn get_election_timeout_min(&self) -> Duration {
        self.election_timeout_min
    }

    /// Returns the maximum election timeout.
    pub fn get_election_timeout_max(&self) -> Duration {
        self.election_timeout_max
    }

    /// Returns the interval between heartbeats.
    pub fn get_heartbeat(&self) -> Duration {
        self.heartbeat
    }

    /// Returns the time after which an unanswered append or snapshot chunk is sent again.
    pub fn get_retry(&self) -> Duration {
        self.retry
    }

    /// Returns the length of a lease on the leader's clock.
    ///
    /// The lease ends before the minimum election timeout on a follower's clock, even if the two
    /// clocks drift in opposite directions by the maximum.
    pub fn get_lease(&self) -> Duration {
        let slow = PPM.saturating_sub(u64::from(self.clock_drift_ppm));
        let fast = PPM + u64::from(self.clock_drift_ppm);
        let timeout_micros = self.election_timeout_min.as_micros();
        let lease_micros = timeout_micros * u128::from(slow) / u128::from(fast);
        Duration::from_micros(u64::try_from(lease_micros).unwrap_or(u64::MAX))
    }

    /// Returns the bound on the drift of a clock's rate, in parts per million.
    pub fn get_clock_drift_ppm(&self) -> u32 {
        self.clock_drift_ppm
    }

    /// Returns the maximum bytes of entries in one append.
    pub fn get_max_append_bytes(&self) -> usize {
        self.max_append_bytes
    }

    /// Returns the maximum bytes of entries in flight to one follower.
    pub fn get_max_in_flight_bytes(&self) -> usize {
        self.max_in_flight_bytes
    }

    /// Returns the maximum bytes of entries proposed and not committed.
    pub fn get_max_uncommitted_bytes(&self) -> usize {
        self.max_uncommitted_bytes
    }

    /// Returns the maximum bytes of a snapshot in one message.
    pub fn get_snapshot_chunk_bytes(&self) -> usize {
        self.snapshot_chunk_bytes
    }

    /// Returns the number of entries kept in memory after a snapshot covers them.
    pub fn get_retained_entries(&self) -> u64 {
        self.retained_entries
    }

    /// Returns the maximum bytes of entries kept in memory after a snapshot covers them.
    pub fn get_retained_bytes(&self) -> usize {
        self.retained_bytes
    }

    /// Returns the maximum number of entries that a learner may be behind when it is promoted.
    pub fn get_promote_lag_entries(&self) -> u64 {
        self.promote_lag_entries
    }
}
