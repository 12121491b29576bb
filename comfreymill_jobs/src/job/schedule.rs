use std::time::Duration;

/// Times at which a recurring job runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Schedule {
    /// Number of occurrences.
    pub count: u32,
    /// First occurrence, in milliseconds since 1970.
    pub first_unix_ms: u64,
    /// Milliseconds between occurrences.
    pub interval_ms: u64,
}

impl Schedule {
    /// Time since 1970 at which occurrence `number` (from 0) is due.
    pub fn due_at(&self, number: u32) -> Duration {
        let offset = self.interval_ms.saturating_mul(u64::from(number));
        Duration::from_millis(self.first_unix_ms.saturating_add(offset))
    }
}
