//! Workers that start again under their names.
//!
//! Orders name a worker, not one of its incarnations: an incarnation that the leader does not know of
//! yet carries out the starts that were meant for the one before it. Only a report shows which of the
//! two has a run. So an incarnation is taken for gone, with the runs that none of its reports has
//! confirmed, only once the next one has reported what it has, or once all leases are over.

use comfreymill_types::time;

use super::Scheduler;
use super::run::{RunEntry, RunPhase};
use super::task::TaskPhase;
use super::worker::WorkerEntry;
use crate::id;
use crate::worker;

/// # Incarnations of workers
impl Scheduler {
    /// Handles a later incarnation with the name and address of the worker `earlier`, which has been
    /// registered and not reported yet.
    pub(super) fn incarnation_registered(
        &mut self,
        now: time::Monotonic,
        earlier: id::WorkerNumber,
    ) {
        let reason = "a later incarnation has announced itself";
        let Some(entry) = self.workers.get(&earlier) else { return };
        if entry.has_unconfirmed_runs() && now < entry.lease_over_at {
            self.poll_failed(now, earlier, reason);
        } else {
            self.worker_gone(now, earlier, reason);
        }
    }

    /// Handles the answer of another incarnation than the one that was polled. Its runs are read once
    /// it is registered; until then the worker stays in the log.
    pub(super) fn other_incarnation_answered(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
    ) {
        let reason = "another incarnation answers";
        let Some(entry) = self.workers.get(&number) else { return };
        if now < entry.lease_over_at {
            self.poll_failed(now, number, reason);
        } else {
            self.worker_gone(now, number, reason);
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

    /// Returns whether the worker may have runs that none of its reports has confirmed; another
    /// incarnation may have them.
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
