use std::time::Duration;

/// Counts of what became of tasks that are faster on one rack.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalityCounts {
    /// Tasks started on their rack.
    pub near: u64,
    /// Tasks started elsewhere.
    pub away: u64,
    /// Steps that have waited for their rack.
    pub waits: u64,
    /// Time for which they have waited in all.
    pub waited: Duration,
}
