use std::time::Duration;

use comfreymill_types::time;

use super::Scheduler;
use super::rounds::Tier;
use crate::id;

/// # Order in which waiting steps get their turns
impl Scheduler {
    /// Returns the ready steps of a tier in the order in which to place them.
    ///
    /// Load pattern: a burst of jobs needs more room than there is. With the earliest due time first,
    /// each job would get its room shortly after it could have been completed in time. So within a
    /// class and priority, jobs that can still be in time go before late ones, and these before those
    /// that are too late to be of use, which get what is left.
    pub(super) fn steps_by_lateness(&self, now: time::Monotonic, tier: Tier) -> Vec<id::StepId> {
        let mut steps = self.ready.steps_of(tier);
        steps.sort_by_cached_key(|(rank, _)| {
            let end = now + Duration::from_millis(rank.remaining_ms);
            (rank.class, rank.priority, rank.lateness(end), rank.due_at)
        });
        steps.into_iter().map(|(_, step)| step).collect()
    }
}
