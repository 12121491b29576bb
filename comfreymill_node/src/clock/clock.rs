use std::time::Duration;

use comfreymill_types::time;
use nix::time as system;

/// Monotonic clock of the process.
///
/// It includes the time for which the machine is suspended, so that leases expire during a
/// suspension too.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Starts a clock at the current time.
    pub fn start() -> Self {
        Self { origin: since_boot() }
    }

    /// Returns the current time.
    pub fn now(&self) -> time::Monotonic {
        let elapsed = since_boot().saturating_sub(self.origin);
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        // Zero means "never" in some tables, so the clock starts at one microsecond.
        time::Monotonic::from_micros(micros.saturating_add(1))
    }
}

/// Returns the time since the machine was booted, suspensions included.
fn since_boot() -> Duration {
    let now = system::clock_gettime(system::ClockId::CLOCK_BOOTTIME)
        .expect("Linux has CLOCK_BOOTTIME since 2.6.39");
    now.into()
}

/// Returns the time of day as the time since 1970; it may jump.
pub(crate) fn since_1970() -> Duration {
    // A time of day before 1970 is invalid and counts as zero.
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default()
}
