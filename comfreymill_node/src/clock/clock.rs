use std::time::Duration;

use comfreymill_types::time;
use nix::time as system;

/// Monotonic clock of the process; it counts the time for which the machine is suspended, so that
/// no lease outlives a suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Clock that counts from now.
    pub fn start() -> Self {
        Self { origin: since_boot() }
    }

    /// Present.
    pub fn now(&self) -> time::Monotonic {
        let elapsed = since_boot().saturating_sub(self.origin);
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        // Zero is the start itself and stands for "never" in some tables.
        time::Monotonic::from_micros(micros.saturating_add(1))
    }
}

/// Time since the machine started, suspensions included.
fn since_boot() -> Duration {
    let now = system::clock_gettime(system::ClockId::CLOCK_BOOTTIME)
        .expect("every Linux since 2.6.39 has this clock");
    now.into()
}

/// Time of day as the time since 1970; it may jump.
pub(crate) fn since_1970() -> Duration {
    // A time of day before 1970 is as good as none.
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default()
}
