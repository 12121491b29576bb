use std::time::Instant;

use comfreymill_types::time;

/// Monotonic clock of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Clock that counts from now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Present.
    pub fn now(&self) -> time::Monotonic {
        let micros = u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX);
        // Zero is the start itself and stands for "never" in some tables.
        time::Monotonic::from_micros(micros.saturating_add(1))
    }
}
