use std::time::Duration;

/// Mix of faults in a schedule.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Profile {
    /// All kinds of faults.
    Mixed,
    /// Few faults between many commands.
    FewFaults,
    /// Few commands, so that logs are equal and only leases prevent two concurrent leaders.
    FewCommands,
    /// Several candidates in one term, slow disks and restarts after elections.
    ContestedElections,
}

impl Profile {
    /// Returns the profile for `seed`.
    pub(crate) fn of(seed: u64) -> Self {
        match seed / 8 % 5 {
            0 | 1 => Self::Mixed,
            2 => Self::FewFaults,
            3 => Self::FewCommands,
            _ => Self::ContestedElections,
        }
    }

    /// Returns the minimum and maximum election timeout.
    pub(crate) fn election_timeout(self) -> (Duration, Duration) {
        let max_millis = if self == Self::ContestedElections { 340 } else { 600 };
        (Duration::from_millis(300), Duration::from_millis(max_millis))
    }
}
