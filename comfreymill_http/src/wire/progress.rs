use std::time;

/// Enforces a minimum receive rate: `min_bytes` within each `window` of time spent waiting.
///
/// Time between reads does not count, so a slow reader does not make the sender time out.
#[derive(Debug)]
pub(crate) struct Progress {
    window: time::Duration,
    min_bytes: usize,
    waited: time::Duration,
    received: usize,
}

impl Progress {
    /// Starts a window of waiting time in which `min_bytes` must arrive.
    pub(crate) fn new(window: time::Duration, min_bytes: usize) -> Self {
        Self { window, min_bytes, waited: time::Duration::ZERO, received: 0 }
    }

    /// Returns the waiting time remaining in the current window.
    pub(crate) fn remaining(&self) -> time::Duration {
        self.window.saturating_sub(self.waited)
    }

    /// Records a read of `bytes` bytes that took `waited`, and starts a new window once
    /// `min_bytes` have arrived.
    pub(crate) fn record(&mut self, bytes: usize, waited: time::Duration) {
        self.received = self.received.saturating_add(bytes);
        self.waited = self.waited.saturating_add(waited);
        if self.received >= self.min_bytes {
            self.received = 0;
            self.waited = time::Duration::ZERO;
        }
    }
}
