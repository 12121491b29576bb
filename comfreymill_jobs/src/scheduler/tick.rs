use std::time::Duration;

use comfreymill_types::time;

use super::run::RunPhase;
use super::{Order, Scheduler};
use crate::id;
use crate::state;

/// Time after which an unanswered stop order is sent again.
const STOP_RETRY: Duration = Duration::from_millis(400);
/// Maximum time between attempts to place ready tasks.
const PLACEMENT_PERIOD: Duration = Duration::from_millis(100);
/// Maximum number of jobs that one command removes.
const MAX_REMOVED_JOBS: usize = 256;
/// Maximum number of stop orders that are checked in one tick.
const MAX_STOP_RETRIES: usize = 256;

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

    fn retry_stops(&mut self, now: time::Monotonic) {
        for _ in 0..MAX_STOP_RETRIES {
            let Some((at, number, task)) = self.stops.pop_front() else { return };
            if now.since(at) < STOP_RETRY {
                self.stops.push_front((at, number, task));
                return;
            }
            self.steps += 1;
            let Some(worker) = self.workers.get_mut(&number) else { continue };
            let is_unresponsive = worker.is_unresponsive;
            let Some(run) = worker.runs.get_mut(&task) else { continue };
            if let RunPhase::Stopping { sent_at } = &mut run.phase
                && *sent_at == at
            {
                *sent_at = now;
                self.stops.push_back((now, number, task));
                if !is_unresponsive {
                    self.orders.push(Order::Stop { worker: number, task, run: run.run });
                }
            }
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
