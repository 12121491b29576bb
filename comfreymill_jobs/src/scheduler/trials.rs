//! Trials of fillers that no worker admits.
//!
//! Load pattern: the tails of serving tasks are near their targets on all workers, or a filler's image
//! never ran beside theirs and counts as one that slows them down. No worker has headroom for the
//! filler, and without a run nothing is learned that could change this: its job waits for good. So some
//! fillers that have waited for long are started nonetheless, one beside the serving tasks of a worker.
//! Its reports show what it does to them, and its pace follows from that as with any filler: it is
//! paused long before a tail over its target counts as harm.

use std::time::Duration;

use comfreymill_types::time;

use super::Scheduler;
use super::queue::PlacementClass;
use super::worker::WorkerEntry;
use super::workers::PoolId;
use crate::id;
use crate::job;

/// Waiting time after which a filler may be tried.
const TRY_AFTER: Duration = Duration::from_secs(2);
/// Time between two trials, in which the first reports about the earlier one arrive.
const TRIAL_PERIOD: Duration = Duration::from_millis(500);
/// The number of fillers that are tried at once is at most the number of all workers divided by this,
/// plus 1.
const MAX_TRIALS_DIVISOR: usize = 16;

/// # Trials of fillers
impl Scheduler {
    /// Starts fillers that have waited for long on workers without fillers.
    pub(super) fn try_fillers(&mut self, now: time::Monotonic) {
        if self.is_fenced || now.since(self.fillers_tried_at) < TRIAL_PERIOD {
            return;
        }
        self.fillers_tried_at = now;
        let most = self.workers.len() / MAX_TRIALS_DIVISOR + 1;
        for task in self.ready.waiting_at_least(now, PlacementClass::Filling, TRY_AFTER, most) {
            let Some(spec) = self.step_spec(task.step).cloned() else { continue };
            let Some(queue) = self.jobs.get(&task.step.job).map(|job| &job.queue) else { continue };
            let Some(queue) = self.routes.queue(queue) else { continue };
            let pool = self.workers.pool(&queue.pool);
            let Some(worker) = self.choose_for_trial(now, pool, task, &spec) else { return };
            log::info!(target: "runs", task:% = task, worker:% = worker; "a filler that no worker admits is tried");
            self.start(now, worker, task, &spec);
        }
    }

    /// Returns the worker with the most free processor time among those that have no filler and no
    /// tail over its target.
    fn choose_for_trial(
        &mut self,
        now: time::Monotonic,
        pool: PoolId,
        task: id::TaskId,
        spec: &job::StepSpec,
    ) -> Option<id::WorkerNumber> {
        self.steps += self.workers.refresh(now);
        let is_free = |worker: &WorkerEntry| {
            worker.fillers == 0 && !worker.has_tail_over_target && worker.fits(now, task, spec)
        };
        let mut best = None;
        self.steps += self.workers.roomiest(pool, |number, worker| {
            let is_chosen = is_free(worker);
            if is_chosen {
                best = best.max(Some((worker.spare_cpu(), number)));
            }
            is_chosen
        });
        best.map(|(_, number)| number)
    }
}
