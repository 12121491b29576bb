use std::time::Duration;

/// Mix of faults in a schedule.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Profile {
    /// All faults alike.
    Mixed,
    /// Few faults between many commands.
    Calm,
    /// Few commands, so that logs are equal and only leases keep leaders apart.
    Quiet,
    /// Candidates of one term meet, on slow disks, among restarts.
    Duel,
}

impl Profile {
    /// Profile of the schedule of `seed`.
    pub(crate) fn of(seed: u64) -> Self {
        match seed / 8 % 5 {
            0 | 1 => Self::Mixed,
            2 => Self::Calm,
            3 => Self::Quiet,
            _ => Self::Duel,
        }
    }

    /// Range of the election timeout.
    pub(crate) fn election_timeout(self) -> (Duration, Duration) {
        let max_millis = if self == Self::Duel { 340 } else { 600 };
        (Duration::from_millis(300), Duration::from_millis(max_millis))
    }
}
