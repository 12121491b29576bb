use std::time::Duration;

use comfreymill_types::time;

use super::Scheduler;
use crate::id;
use crate::state;

/// Maximum time between attempts to place ready tasks.
const PLACEMENT_PERIOD: Duration = Duration::from_millis(100);
/// Maximum number of jobs that one command removes.
const MAX_REMOVED_JOBS: usize = 256;

/// # Periodic work
impl Scheduler {
    /// Does the work that is due at `now`; `since_1970` is the time of day.
    pub fn tick(&mut self, now: time::Monotonic, since_1970: Duration) {
        let unix_ms = u64::try_from(since_1970.as_millis()).unwrap_or(u64::MAX);
        self.unix_offset_ms = unix_ms.saturating_sub(now.as_micros() / 1_000);
        self.expire_leases(now);
        self.poll_due(now);
        self.reconcile(now);
        self.retry_stops(now);
        self.advance_returns(now);
        self.retry_moves(now);
        self.begin_all_due(now);
        self.remove_expired_jobs(now);
        self.report_fleet(now);
        self.try_fillers(now);
        self.retry_placement(now);
    }

    /// Triggers another placement of ready tasks, since workers may be usable again after a
    /// backoff.
    fn retry_placement(&mut self, now: time::Monotonic) {
        if !self.ready.is_empty() && now.since(self.placed_at) >= PLACEMENT_PERIOD {
            self.needs_placement = true;
        }
    }

    fn begin_all_due(&mut self, now: time::Monotonic) {
        let due = self.recurring.iter().filter(|key| {
            self.jobs.get(key).is_some_and(|job| {
                job.next_occurrence < job.spec.occurrences()
                    && self.is_due(now, &job.spec, job.next_occurrence)
            })
        });
        let due: Vec<id::JobKey> = due.copied().collect();
        for key in due {
            self.begin_due(now, key);
        }
    }

    fn remove_expired_jobs(&mut self, now: time::Monotonic) {
        let mut jobs = Vec::new();
        while let Some((ended_at, key)) = self.ended.front() {
            let is_kept = now.since(*ended_at) < self.cfg.get_outcome_retention();
            if is_kept || jobs.len() >= MAX_REMOVED_JOBS {
                break;
            }
            jobs.push(*key);
            self.ended.pop_front();
        }
        if !jobs.is_empty() {
            self.commands.push(state::Command::Forget { jobs });
        }
    }
}
