//! Limits of connections and listeners

use std::time;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// Largest head that can be configured, in bytes.
pub const MAX_HEAD_BYTES_CEILING: usize = 60 * KIB;

/// Largest number of headers that can be configured.
pub const MAX_HEADERS_CEILING: usize = 96;

/// Limits on size, time and concurrency of a connection and its listener.
#[derive(Clone, Debug)]
pub struct Limits {
    max_head_bytes: usize,
    max_headers: usize,
    max_body_bytes: u64,
    max_collected_bytes: u64,
    max_drain_bytes: usize,
    head_timeout: time::Duration,
    body_progress_timeout: time::Duration,
    min_progress_bytes: usize,
    write_timeout: time::Duration,
    idle_timeout: time::Duration,
    response_timeout: time::Duration,
    linger_timeout: time::Duration,
    max_connections: usize,
    /// Largest number of connections over the limit that are refused with a response at a time.
    max_refusals: usize,
    max_requests_in_progress: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * KIB,
            max_headers: 64,
            max_body_bytes: 8 * MIB as u64,
            max_collected_bytes: 256 * MIB as u64,
            max_drain_bytes: 2 * MIB,
            head_timeout: time::Duration::from_secs(10),
            body_progress_timeout: time::Duration::from_secs(10),
            min_progress_bytes: KIB,
            write_timeout: time::Duration::from_secs(10),
            idle_timeout: time::Duration::from_secs(60),
            response_timeout: time::Duration::from_secs(60),
            linger_timeout: time::Duration::from_secs(2),
            max_connections: 4096,
            max_refusals: 64,
            max_requests_in_progress: 4096,
        }
    }
}

impl Limits {
    /// Returns the default limits.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

/// # Setters
impl Limits {
    /// Sets the largest head in bytes, counting the start line and the headers; values above
    /// [`MAX_HEAD_BYTES_CEILING`] are clamped.
    #[must_use]
    pub fn max_head_bytes(mut self, bytes: usize) -> Self {
        self.max_head_bytes = bytes.min(MAX_HEAD_BYTES_CEILING);
        self
    }

    /// Sets the largest number of headers; values above [`MAX_HEADERS_CEILING`] are clamped.
    #[must_use]
    pub fn max_headers(mut self, count: usize) -> Self {
        self.max_headers = count.min(MAX_HEADERS_CEILING);
        self
    }

    /// Sets the largest body in bytes.
    #[must_use]
    pub fn max_body_bytes(mut self, bytes: u64) -> Self {
        self.max_body_bytes = bytes;
        self
    }

    /// Sets the total size in bytes of the collected bodies that all requests of a listener may
    /// hold at a time.
    #[must_use]
    pub fn max_collected_bytes(mut self, bytes: u64) -> Self {
        self.max_collected_bytes = bytes;
        self
    }

    /// Sets how many bytes of an unread body are discarded to keep the connection open.
    #[must_use]
    pub fn max_drain_bytes(mut self, bytes: usize) -> Self {
        self.max_drain_bytes = bytes;
        self
    }

    /// Sets the time limit from the first byte of a head to its last.
    #[must_use]
    pub fn head_timeout(mut self, limit: time::Duration) -> Self {
        self.head_timeout = limit;
        self
    }

    /// Sets the time within which `min_progress_bytes` of a body must arrive.
    #[must_use]
    pub fn body_progress_timeout(mut self, limit: time::Duration) -> Self {
        self.body_progress_timeout = limit;
        self
    }

    /// Sets how many bytes of a body must arrive within each `body_progress_timeout`.
    #[must_use]
    pub fn min_progress_bytes(mut self, bytes: usize) -> Self {
        self.min_progress_bytes = bytes;
        self
    }

    /// Sets how long a write may wait until the peer accepts at least one byte.
    #[must_use]
    pub fn write_timeout(mut self, limit: time::Duration) -> Self {
        self.write_timeout = limit;
        self
    }

    /// Sets how long a connection may stay open without a request.
    #[must_use]
    pub fn idle_timeout(mut self, limit: time::Duration) -> Self {
        self.idle_timeout = limit;
        self
    }

    /// Sets how long the client waits from the end of a request to the first byte of its
    /// response.
    #[must_use]
    pub fn response_timeout(mut self, limit: time::Duration) -> Self {
        self.response_timeout = limit;
        self
    }

    /// Sets how long a closing connection discards input, so that the peer can read the last
    /// response before the connection is reset.
    #[must_use]
    pub fn linger_timeout(mut self, limit: time::Duration) -> Self {
        self.linger_timeout = limit;
        self
    }

    /// Sets the largest number of open connections of a listener.
    #[must_use]
    pub fn max_connections(mut self, count: usize) -> Self {
        self.max_connections = count;
        self
    }

    /// Sets the largest number of connections over the limit that are refused with a response at a
    /// time; any more are closed without one.
    #[must_use]
    pub fn max_refusals(mut self, count: usize) -> Self {
        self.max_refusals = count;
        self
    }

    /// Sets the largest number of requests in progress at a listener.
    #[must_use]
    pub fn max_requests_in_progress(mut self, count: usize) -> Self {
        self.max_requests_in_progress = count;
        self
    }
}

/// # Getters
impl Limits {
    /// Returns the largest head in bytes.
    pub fn get_max_head_bytes(&self) -> usize {
        self.max_head_bytes
    }

    /// Returns the largest number of headers.
    pub fn get_max_headers(&self) -> usize {
        self.max_headers
    }

    /// Returns the largest body in bytes.
    pub fn get_max_body_bytes(&self) -> u64 {
        self.max_body_bytes
    }

    /// Returns the total size in bytes of the collected bodies that all requests of a listener
    /// may hold at a time.
    pub fn get_max_collected_bytes(&self) -> u64 {
        self.max_collected_bytes
    }

    /// Returns how many bytes of an unread body are discarded to keep the connection open.
    pub fn get_max_drain_bytes(&self) -> usize {
        self.max_drain_bytes
    }

    /// Returns the time limit from the first byte of a head to its last.
    pub fn get_head_timeout(&self) -> time::Duration {
        self.head_timeout
    }

    /// Returns the time within which `min_progress_bytes` of a body must arrive.
    pub fn get_body_progress_timeout(&self) -> time::Duration {
        self.body_progress_timeout
    }

    /// Returns how many bytes of a body must arrive within each `body_progress_timeout`.
    pub fn get_min_progress_bytes(&self) -> usize {
        self.min_progress_bytes
    }

    /// Returns how long a write may wait until the peer accepts at least one byte.
    pub fn get_write_timeout(&self) -> time::Duration {
        self.write_timeout
    }

    /// Returns how long a connection may stay open without a request.
    pub fn get_idle_timeout(&self) -> time::Duration {
        self.idle_timeout
    }

    /// Returns how long the client waits from the end of a request to the first byte of its
    /// response.
    pub fn get_response_timeout(&self) -> time::Duration {
        self.response_timeout
    }

    /// Returns how long a closing connection discards input.
    pub fn get_linger_timeout(&self) -> time::Duration {
        self.linger_timeout
    }

    /// Returns the largest number of open connections of a listener.
    pub fn get_max_connections(&self) -> usize {
        self.max_connections
    }

    /// Returns the largest number of connections over the limit that are refused with a response at
    /// a time.
    #[must_use]
    pub fn get_max_refusals(&self) -> usize {
        self.max_refusals
    }

    /// Returns the largest number of requests in progress at a listener.
    pub fn get_max_requests_in_progress(&self) -> usize {
        self.max_requests_in_progress
    }
}
