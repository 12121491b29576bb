use std::time::Duration;

/// Schedule of a recurring job.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Schedule {
    /// Number of occurrences.
    pub count: u32,
    /// Due time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// Time between occurrences, in milliseconds.
    pub interval_ms: u64,
}

impl Schedule {
    /// Returns the due time of occurrence `number` (from 0), as the time since the Unix epoch.
    pub fn due_at(&self, number: u32) -> Duration {
        let offset = self.interval_ms.saturating_mul(u64::from(number));
        Duration::from_millis(self.first_unix_ms.saturating_add(offset))
    }
}
