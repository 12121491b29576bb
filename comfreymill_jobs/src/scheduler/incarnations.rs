//! Workers that start again under their names.
//!
//! Orders name a worker, not one of its incarnations: an incarnation that the leader does not know of
//! yet carries out the starts that were meant for the one before it. Which of the two has a run is shown
//! by a report, or by the clock in the answer to the start. So runs that neither has confirmed are
//! taken for lost with an incarnation only once the next one has reported, or once all leases are over.

use comfreymill_types::time;

use super::Scheduler;
use super::run::{RunEntry, RunPhase};
use super::task::TaskPhase;
use super::worker::WorkerEntry;
use super::worker_clock::ReadingOutcome;
use crate::id;
use crate::worker;

/// # Incarnations of workers
impl Scheduler {
    /// Handles a sign of another incarnation than the one that is known, which may have runs that were
    /// meant for it: the worker stays in the log until the other one has reported, or until its leases
    /// are over.
    pub(super) fn other_incarnation_noticed(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        reason: &str,
    ) {
        let cfg = self.cfg;
        let Some(entry) = self.workers.get_mut(&number) else { return };
        if !entry.has_unconfirmed_runs() {
            self.worker_gone(now, number, reason);
            return;
        }
        if !entry.has_successor {
            entry.has_successor = true;
            // Its clock has begun anew, so that it does not keep to the ends of leases in the orders.
            let lease_over_at = now + cfg.max_leader_time(cfg.get_max_lease());
            entry.lease_over_at = entry.lease_over_at.max(lease_over_at);
        }
        if now < entry.lease_over_at {
            self.poll_failed(now, number, reason);
        } else {
            self.worker_gone(now, number, reason);
        }
    }

    /// Handles the reading of the clock in the answer to a start. A clock begins anew with each
    /// incarnation, so a reading that continues the earlier ones confirms the start; one that does not
    /// has the worker asked which incarnation it is.
    pub(super) fn check_start_reading(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        task: id::TaskId,
        outcome: Option<ReadingOutcome>,
    ) {
        let Some(entry) = self.workers.get_mut(&number) else { return };
        let (Some(outcome), false) = (outcome, entry.has_successor) else { return };
        if outcome == ReadingOutcome::Used {
            let run = entry.runs.get_mut(&task);
            if let Some(run) = run.filter(|run| matches!(run.phase, RunPhase::Running { .. })) {
                run.is_confirmed = true;
            }
        } else if entry.has_unconfirmed_runs() {
            self.other_incarnation_noticed(now, number, "its clock has begun anew");
            self.poll(now, number);
        }
    }

    /// Has the incarnation `next`, whose first report was requested at `asked_at`, take over the runs
    /// of the incarnation `earlier` that it shows, or that it may have although it does not.
    pub(super) fn take_over(
        &mut self,
        now: time::Monotonic,
        earlier: id::WorkerNumber,
        next: id::WorkerNumber,
        asked_at: time::Monotonic,
        report: &worker::Report,
    ) {
        // Runs that earlier leaders started are known once the ends that the report shows are in the
        // log.
        if self.unheard.contains(&earlier) {
            self.unheard.push(next);
        }
        let Some(entry) = self.workers.get_mut(&earlier) else { return };
        let lease_over_at = entry.lease_over_at;
        let runs = entry.take_unconfirmed(asked_at, report);
        let Some(entry) = self.workers.get_mut(&next) else { return };
        entry.lease_over_at = entry.lease_over_at.max(lease_over_at);
        for (task, mut run) in runs {
            log::info!(target: "runs", task:% = task, run:% = run.run, worker:% = next, earlier:% = earlier, phase:? = run.phase; "a run may be one of the worker's next incarnation");
            // The answer to an order in flight is one of the earlier incarnation, or not expected.
            let is_unanswered = !matches!(run.phase, RunPhase::Running { .. });
            run.is_start_uncertain |= is_unanswered;
            let Some(entry) = self.workers.get_mut(&next) else { return };
            entry.add(task, run);
            let placed = self.task_mut(task).filter(|t| t.phase == TaskPhase::Placed(earlier));
            if let Some(placed) = placed {
                placed.phase = TaskPhase::Placed(next);
            }
            if is_unanswered {
                self.stop_again(now, next, task);
            }
        }
    }
}

impl WorkerEntry {
    /// Returns whether a report is one of another incarnation.
    pub(super) fn is_of_other_incarnation(&self, report: &worker::Report) -> bool {
        let known = self.replicated.announced.born_unix_ms;
        report.born_unix_ms.is_some_and(|born| born != known)
    }

    /// Confirms the starts of the runs that a report requested at `asked_at` shows, or would show if
    /// the incarnation had them: it was still there after their starts had been accepted.
    pub(super) fn confirm_runs(&mut self, asked_at: time::Monotonic, report: &worker::Report) {
        let running = report.running.iter().map(|status| (status.task, status.run));
        let ended = report.ended.iter().map(|end| (end.task, end.run));
        for (task, number) in running.chain(ended) {
            if let Some(run) = self.runs.get_mut(&task).filter(|run| run.run == number) {
                run.is_confirmed = true;
            }
        }
        for run in self.runs.values_mut() {
            run.is_confirmed |= run.was_accepted_before(asked_at);
        }
    }

    /// Returns whether the worker may have runs that are not confirmed to be those of this incarnation.
    pub(super) fn has_unconfirmed_runs(&self) -> bool {
        !self.has_answered || self.runs.values().any(|run| !run.is_confirmed)
    }

    /// Returns the number up to which the worker may forget its ends; 0 if it may forget none. The
    /// next incarnation numbers its ends anew, so that it would forget ends that were never read.
    pub(super) fn forgettable_end(&self) -> u64 {
        if self.has_unconfirmed_runs() { 0 } else { self.replicated.noted.max(self.skipped_end) }
    }

    /// Removes the unconfirmed runs that the first report of the next incarnation, requested at
    /// `asked_at`, shows, or that it may have although the report does not show them.
    fn take_unconfirmed(
        &mut self,
        asked_at: time::Monotonic,
        report: &worker::Report,
    ) -> Vec<(id::TaskId, RunEntry)> {
        let is_complete = report.unread.is_empty() && !report.is_full();
        let may_have = |task: &id::TaskId, run: &RunEntry| {
            let must_be_shown = is_complete && run.was_accepted_before(asked_at);
            !run.is_confirmed && (!must_be_shown || report.shows(*task, run.run))
        };
        let taken = self.runs.iter().filter(|(task, run)| may_have(task, run));
        let taken: Vec<id::TaskId> = taken.map(|(task, _)| *task).collect();
        taken.into_iter().filter_map(|task| Some((task, self.remove(task)?))).collect()
    }
}
