//! Workers that start again under their names.
//!
//! Orders name a worker, not one of its incarnations: an incarnation that the leader does not know of
//! yet carries out the starts that were meant for the one before it. Which of the two has a run is shown
//! by a report, or by the clock in the answer to the start. So runs that neither has confirmed are
//! taken for lost with an incarnation only once the next one has reported, or once all leases are over.

use std::time::Duration;

use comfreymill_types::time;

use super::run::RunEntry;
use super::task::TaskPhase;
use super::worker::WorkerEntry;
use super::worker_clock::ReadingOutcome;
use super::{Config, Scheduler};
use crate::id;
use crate::state;
use crate::worker;

/// Maximum time after which a worker carries out an order that it does not answer.
const ORDER_DELAY: Duration = Duration::from_secs(12);
/// Time after the registration of an incarnation for which a new leader takes into account that it has
/// started again: longer than the delay of an order and the longest lease, and than the differences
/// between the machines' times of day.
const RESTART_MEMORY: Duration = Duration::from_secs(45);

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
            let last_order_at = now.max(entry.late_order_until);
            entry.extend_to_longest_lease(&cfg, last_order_at);
        }
        if now < entry.lease_over_at {
            self.poll_failed(now, number, reason);
        } else {
            self.worker_gone(now, number, reason);
        }
    }

    /// Has the fencing token raised before an incarnation is registered whose name had an earlier one:
    /// once it has seen the new token, it carries out no order that was meant for the earlier one.
    pub(super) fn raise_fence_for(&mut self, name: &id::WorkerName) {
        let is_restarted = self.former_workers.contains(name)
            || self.pending_workers.contains_key(name)
            || self.workers.named(name).next().is_some();
        // One token is enough for all incarnations that are registered by one log entry.
        if is_restarted && !self.commands.contains(&state::Command::Lead) {
            self.commands.push(state::Command::Lead);
        }
    }

    /// Returns whether this leader has registered a later incarnation of a worker.
    pub(super) fn has_later_incarnation(&self, number: id::WorkerNumber) -> bool {
        let Some(entry) = self.workers.get(&number) else { return false };
        let named = self.workers.named(&entry.replicated.announced.name);
        named.into_iter().any(|(other, entry)| other > number && entry.registered_at.is_some())
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
    /// Counts with the longest lease from `granted_at`, since a clock that has begun anew does not keep
    /// to the ends of leases in the orders that were meant for an earlier incarnation.
    fn extend_to_longest_lease(&mut self, cfg: &Config, granted_at: time::Monotonic) {
        let lease_over_at = granted_at + cfg.max_leader_time(cfg.get_max_lease());
        self.lease_over_at = self.lease_over_at.max(lease_over_at);
    }

    /// Restores what follows from an earlier leader's registration of an incarnation that had an earlier
    /// one of its name: late orders may reach it until it answers, and grant it the longest lease.
    pub(super) fn restore_restart(
        &mut self,
        cfg: &Config,
        since_1970: Duration,
        now: time::Monotonic,
    ) {
        let announced = &self.replicated.announced;
        let registered_ms = announced.born_unix_ms.saturating_add(announced.clock_ms.unwrap_or(0));
        let age = since_1970.saturating_sub(Duration::from_millis(registered_ms));
        self.is_restarted = age < RESTART_MEMORY;
        if self.is_restarted {
            let late_for = ORDER_DELAY.saturating_sub(age);
            self.extend_to_longest_lease(cfg, now + late_for);
        }
    }

    /// Handles the first answer to this leader, after which the worker carries out no order that was
    /// meant for an earlier incarnation or that an earlier leader gave.
    pub(super) fn answered_after_restart(&mut self, cfg: &Config, now: time::Monotonic) {
        if self.is_restarted {
            self.extend_to_longest_lease(cfg, now);
        }
    }

    /// Records that an order sent at `sent_at`, which may grant a lease, was not answered.
    pub(super) fn order_unanswered(&mut self, sent_at: time::Monotonic) {
        self.late_order_until = self.late_order_until.max(sent_at + ORDER_DELAY);
    }

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
