use std::time;

/// Counts the time spent waiting for a peer against the bytes that it brought.
///
/// Time that the reader spends elsewhere does not count, so a slow consumer is not blamed on the
/// sender.
#[derive(Debug)]
pub(crate) struct Progress {
    window: time::Duration,
    min_bytes: usize,
    waited: time::Duration,
    received: usize,
}

impl Progress {
    /// A window in which `min_bytes` must arrive.
    pub(crate) fn new(window: time::Duration, min_bytes: usize) -> Self {
        Self { window, min_bytes, waited: time::Duration::ZERO, received: 0 }
    }

    /// Time left in the present window.
    pub(crate) fn left(&self) -> time::Duration {
        self.window.saturating_sub(self.waited)
    }

    /// Notes a read of `bytes` that took `waited`.
    pub(crate) fn note(&mut self, bytes: usize, waited: time::Duration) {
        self.received = self.received.saturating_add(bytes);
        self.waited = self.waited.saturating_add(waited);
        if self.received >= self.min_bytes {
            self.received = 0;
            self.waited = time::Duration::ZERO;
        }
    }
}
