//! Workers that start again under their names.
//!
//! Orders name a worker, not one of its incarnations: an incarnation that the leader does not know of
//! yet carries out the starts that were meant for the one before it. Which of the two has a run is shown
//! by a report, or by the clock in the answer to the start. So runs that neither has confirmed are
//! taken for lost with an incarnation only once the next one has reported, or once all leases are over.

use comfreymill_types::time;

use super::Scheduler;
use super::run::RunEntry;
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
            if let Some(run) = run.filter(|run| run.is_accepted()) {
                run.is_confirmed = true;
            }
        } else if entry.has_unconfirmed_runs() {
            self.other_incarnation_noticed(now, number, "its clock has begun anew");
            self.poll(now, number);
        }
    }

    /// Has the incarnation `next`, whose first report was requested at `asked_at`, take over the runs
    /// of the incarnation `earlier` that the report shows, or might not show yet.
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
        entry.next_asked_at = Some(asked_at);
        let lease_over_at = entry.lease_over_at;
        let is_complete = report.unread.is_empty() && !report.is_full();
        let runs = entry.take_unconfirmed(|task, run| {
            let is_lost = is_complete && run.was_accepted_before(asked_at);
            report.shows(task, run.run) || (run.is_accepted() && !is_lost)
        });
        let Some(entry) = self.workers.get_mut(&next) else { return };
        entry.lease_over_at = entry.lease_over_at.max(lease_over_at);
        for (task, run) in runs {
            let is_active = run.is_active();
            self.pass_on(task, run, earlier, next);
            if !is_active {
                self.stop_again(now, next, task);
            }
        }
    }

    /// Passes the runs of a worker that is gone on to its next incarnation whose starts were not
    /// answered when that was asked for its first report: it may have carried them out since, or may do
    /// so later.
    pub(super) fn pass_on_unanswered(&mut self, now: time::Monotonic, earlier: id::WorkerNumber) {
        let Some(entry) = self.workers.get(&earlier) else { return };
        let named = self.workers.named(&entry.replicated.announced.name);
        let next = named.map(|(number, _)| number).filter(|number| *number > earlier).max();
        let (Some(next), Some(entry)) = (next, self.workers.get_mut(&earlier)) else { return };
        let asked_at = entry.next_asked_at.unwrap_or(now);
        for (task, run) in entry.take_unconfirmed(|_, run| !run.was_accepted_before(asked_at)) {
            let is_accepted = run.is_accepted();
            self.pass_on(task, run, earlier, next);
            if !is_accepted {
                self.stop_again(now, next, task);
            }
        }
    }

    fn pass_on(
        &mut self,
        task: id::TaskId,
        run: RunEntry,
        earlier: id::WorkerNumber,
        next: id::WorkerNumber,
    ) {
        log::info!(target: "runs", task:% = task, run:% = run.run, worker:% = next, earlier:% = earlier, phase:? = run.phase; "a run may be one of the worker's next incarnation");
        let Some(entry) = self.workers.get_mut(&next) else { return };
        entry.add(task, run);
        let placed = self.task_mut(task).filter(|entry| entry.phase == TaskPhase::Placed(earlier));
        if let Some(placed) = placed {
            placed.phase = TaskPhase::Placed(next);
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

    /// Removes the unconfirmed runs for which `is_taken` returns true.
    fn take_unconfirmed<F>(&mut self, is_taken: F) -> Vec<(id::TaskId, RunEntry)>
    where
        F: Fn(id::TaskId, &RunEntry) -> bool,
    {
        let taken =
            self.runs.iter().filter(|(task, run)| !run.is_confirmed && is_taken(**task, run));
        let taken: Vec<id::TaskId> = taken.map(|(task, _)| *task).collect();
        taken.into_iter().filter_map(|task| Some((task, self.remove(task)?))).collect()
    }
}
